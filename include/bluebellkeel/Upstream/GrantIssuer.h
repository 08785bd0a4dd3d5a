#ifndef BLUEBELLKEEL_UPSTREAM_GRANTISSUER_H
#define BLUEBELLKEEL_UPSTREAM_GRANTISSUER_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Upstream/Grant.h"
#include "bluebellkeel/Upstream/GrantRequest.h"
#include "bluebellkeel/Upstream/GrantRules.h"
#include "bluebellkeel/Upstream/LoadReport.h"
#include "bluebellkeel/Upstream/UpstreamLifecycle.h"
#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bluebellkeel {

/// Hands out what the owned upstreams bear. The parts that are out at any time
/// never add up to more than an upstream bears, whoever asks and however often;
/// load that no grant accounts for is taken off first.
class grant_issuer {
public:
  /// Without a confirmation for this long, as after a pause of the process,
  /// nothing is issued.
  static constexpr milliseconds ConfirmLifetime{1500};

  explicit grant_issuer(grant_rules Rules) : Rules(Rules) {}

  /// Confirms which upstreams this instance owns; to be repeated well within
  /// ConfirmLifetime. One that is new, or was not confirmed in time, waits a
  /// whole term, so that what another owner issued has ended.
  void setOwned(const std::vector<upstream_record> &Owned, monotonic_time Now);

  void noteReport(const upstream_id &Id, const load_report &Report,
                  monotonic_time Now);

  /// Answers \p Request; an empty share when the upstream has nothing left or
  /// takes no new work. No answer when the upstream is not owned, or not for
  /// long enough: what the holder has from a former owner then stays.
  std::optional<grant> issue(const grant_request &Request, monotonic_time Now);

  /// The phase of an owned upstream; Unknown for others.
  upstream_phase phaseOf(const upstream_id &Id);

private:
  struct holding {
    load_amount Share;
    monotonic_time Ends;
  };

  struct owned_upstream {
    upstream_record Record;
    upstream_lifecycle Lifecycle;
    monotonic_time OwnedSince;
    monotonic_time ConfirmedAt;
    monotonic_time WarmStepStart;
    monotonic_time ReportedAt;
    load_report Report;
    load_amount Capacity;
    std::map<instance_id, holding> Holders;
  };

  using owned_map = std::map<upstream_id, owned_upstream>;

  void takeReport(owned_upstream &Upstream, const load_report &Report,
                  monotonic_time Now);
  load_amount availableTo(const owned_upstream &Upstream,
                          const instance_id &Holder) const;
  static void dropEnded(owned_upstream &Upstream, monotonic_time Now);
  std::optional<grant> issueFrom(owned_upstream &Upstream,
                                 const grant_request &Request,
                                 monotonic_time Now);

  grant_rules Rules;
  sharded<owned_map> Owned;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_GRANTISSUER_H
