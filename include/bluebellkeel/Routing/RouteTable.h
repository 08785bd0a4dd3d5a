#ifndef BLUEBELLKEEL_ROUTING_ROUTETABLE_H
#define BLUEBELLKEEL_ROUTING_ROUTETABLE_H

#include "bluebellkeel/Routing/ApiKeyAccount.h"
#include "bluebellkeel/Routing/CallerLimits.h"
#include "bluebellkeel/Routing/ForwardRoute.h"
#include "bluebellkeel/Routing/ServiceConfig.h"
#include <cstdint>
#include <map>
#include <string_view>

namespace bluebellkeel {

/// One version of the operators' configuration: routes, services, accounts and
/// limits.
class route_table : public comparable<route_table> {
public:
  route_table(std::uint64_t Version, std::vector<forward_route> Routes,
              std::vector<service_config> Services,
              std::vector<api_key_account> Accounts,
              const caller_limits &Limits = caller_limits());

  std::uint64_t version() const { return Version; }
  const std::vector<forward_route> &routes() const { return Routes; }
  const std::vector<service_config> &services() const { return Services; }
  const caller_limits &limits() const { return Limits; }

  /// Returns the route of \p Host with the longest prefix of \p Path; null if
  /// no route matches. The pointer is valid as long as the table.
  const forward_route *match(std::string_view Host,
                             std::string_view Path) const;
  /// Returns the account with the API key \p Key; null if there is none.
  const api_key_account *accountOf(std::string_view Key) const;
  /// Returns the configuration of \p Service; null if there is none.
  const service_config *configOf(const service_id &Service) const;
  /// True if callers must present an API key.
  bool requiresApiKeys() const { return !Accounts.empty(); }

  auto key() const {
    return std::tie(Version, Routes, Services, Accounts, Limits);
  }

private:
  std::uint64_t Version;
  std::vector<forward_route> Routes;
  std::vector<service_config> Services;
  std::vector<api_key_account> Accounts;
  caller_limits Limits;
  /// Indices into Routes by host, longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> ByHost;
  /// Indices into Accounts by API key.
  std::map<std::string, std::size_t, std::less<>> ByKey;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_ROUTETABLE_H
