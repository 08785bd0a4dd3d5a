#ifndef BLUEBELLKEEL_RELAY_FORWARDADMISSION_H
#define BLUEBELLKEEL_RELAY_FORWARDADMISSION_H

#include "bluebellkeel/Relay/ForwardDependencies.h"
#include "bluebellkeel/Relay/ForwardLimit.h"
#include <memory>

namespace bluebellkeel {

/// Decides by the newest configuration whether a call is served, and finds its
/// route, account and service.
class forward_admission {
public:
  /// A request that was running when this many different upstreams crashed is
  /// not sent again.
  static constexpr std::size_t CrashLimit = 3;

  forward_admission(const forward_dependencies &Deps, const forward_call &Call,
                    const forward_limit &Limit)
      : Deps(Deps), Call(Call), Limit(Limit) {}

  /// Checks the call before its first attempt. Returns the reason for a
  /// refusal; empty if the call is admitted.
  std::optional<refusal_reason> admit();
  /// Checks the call again before each attempt. \p Runs is the number of
  /// earlier attempts that may have run.
  std::optional<refusal_reason> revalidate(unsigned Runs);

  /// True if a route was found. The accessors below are valid once the call is
  /// admitted; revalidate() may change their values.
  bool hasRoute() const { return Route != nullptr; }
  const forward_route &route() const { return *Route; }
  const service_config &serviceConfig() const { return *ServiceConfig; }
  /// Empty on a public route and if no account is configured.
  const account_id &account() const { return Account; }
  const std::optional<unsigned> &priority() const { return Priority; }
  std::uint64_t settingsVersion() const { return Table->version(); }

  /// The fingerprint by which the request is recognized when it comes again.
  const fingerprint &requestFingerprint() const { return RequestFingerprint; }
  /// The caller's session, or the request's id if the caller named none.
  assignment_key assignmentKey() const;

private:
  std::optional<refusal_reason> checkRoute();
  std::optional<refusal_reason> checkCrashes(unsigned Runs);
  /// Returns what blocks the request from running after \p Runs earlier runs:
  /// a part of its prompt, or the request itself; empty if nothing does.
  std::optional<crash_block> blockOf(unsigned Runs) const;
  std::optional<refusal_reason> checkTime(unsigned Runs) const;
  std::optional<refusal_reason> checkStop() const;

  const forward_dependencies &Deps;
  const forward_call &Call;
  const forward_limit &Limit;
  /// Owns the objects that Route and ServiceConfig point to.
  std::shared_ptr<const route_table> Table;
  const forward_route *Route = nullptr;
  const service_config *ServiceConfig = nullptr;
  account_id Account;
  std::optional<unsigned> Priority;
  fingerprint RequestFingerprint;
  /// True if the request is sent once although it is blocked.
  bool IsTrial = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDADMISSION_H
