#ifndef BLUEBELLKEEL_ROUTING_ROUTETABLE_H
#define BLUEBELLKEEL_ROUTING_ROUTETABLE_H

#include "bluebellkeel/Routing/ApiKeyPolicy.h"
#include "bluebellkeel/Routing/CallerLimits.h"
#include "bluebellkeel/Routing/ForwardRoute.h"
#include "bluebellkeel/Routing/ServiceConfig.h"
#include <cstdint>
#include <map>
#include <string_view>

namespace bluebellkeel {

/// One version of the operators' configuration: routes, services, API keys and
/// limits.
class route_table : public comparable<route_table> {
public:
  route_table(std::uint64_t Version, std::vector<forward_route> Routes,
              std::vector<service_config> Services, api_key_policy ApiKeys,
              const caller_limits &Limits = caller_limits());

  std::uint64_t version() const { return Version; }
  const std::vector<forward_route> &routes() const { return Routes; }
  const std::vector<service_config> &services() const { return Services; }
  const api_key_policy &apiKeys() const { return ApiKeys; }
  const caller_limits &limits() const { return Limits; }

  /// Returns the route of \p Host with the longest prefix of \p Path; null if
  /// no route matches. The pointer is valid as long as the table.
  const forward_route *match(std::string_view Host,
                             std::string_view Path) const;
  /// Returns the configuration of \p Service; null if there is none.
  const service_config *configOf(const service_id &Service) const;

  auto key() const {
    return std::tie(Version, Routes, Services, ApiKeys, Limits);
  }

private:
  std::uint64_t Version;
  std::vector<forward_route> Routes;
  std::vector<service_config> Services;
  api_key_policy ApiKeys;
  caller_limits Limits;
  /// Indices into Routes by host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> ByHost;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_ROUTETABLE_H
