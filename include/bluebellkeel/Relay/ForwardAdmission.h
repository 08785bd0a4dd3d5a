#ifndef BLUEBELLKEEL_RELAY_FORWARDADMISSION_H
#define BLUEBELLKEEL_RELAY_FORWARDADMISSION_H

#include "bluebellkeel/Relay/ForwardDependencies.h"
#include "bluebellkeel/Relay/ForwardLimit.h"
#include <memory>

namespace bluebellkeel {

/// Decides by the newest configuration whether a call is served, and as what.
class forward_admission {
public:
  forward_admission(const forward_dependencies &Deps, const forward_call &Call,
                    const time_limit &Limit)
      : Deps(Deps), Call(Call), Limit(Limit) {}

  /// Before the first sending; the reason if the call is refused.
  std::optional<refusal_reason> admit();
  /// Before each sending, of which \p Runs may have run.
  std::optional<refusal_reason> readmit(unsigned Runs);

  /// What follows holds once the call was admitted, and may change when it is
  /// admitted again.
  bool hasRoute() const { return Route != nullptr; }
  const forward_route &route() const { return *Route; }
  const service_config &serviceConfig() const { return *ServiceConfig; }
  /// Empty on a public route.
  const account_id &account() const { return Account; }
  const std::optional<unsigned> &priority() const { return Priority; }
  std::uint64_t settingsVersion() const { return Table->version(); }

  /// Tells this call from others by its content.
  const fingerprint &requestFingerprint() const { return RequestFingerprint; }
  /// Calls with the same name stay on the same version.
  std::string sessionName() const;

private:
  std::optional<refusal_reason> checkRoute();
  std::optional<refusal_reason> checkTime(unsigned Runs) const;

  const forward_dependencies &Deps;
  const forward_call &Call;
  const time_limit &Limit;
  /// Owns what the pointers below point to.
  std::shared_ptr<const route_table> Table;
  const forward_route *Route = nullptr;
  const service_config *ServiceConfig = nullptr;
  account_id Account;
  std::optional<unsigned> Priority;
  fingerprint RequestFingerprint;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDADMISSION_H
