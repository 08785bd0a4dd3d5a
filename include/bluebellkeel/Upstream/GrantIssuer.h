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

/// Issues grants for the owned upstreams. The live grants of an upstream never
/// add up to more than its capacity. Reported load that no grant covers is
/// subtracted first.
class grant_issuer {
public:
  /// Maximum age of the last confirmation of ownership; without a newer one, as
  /// after a pause of the process, no grant is issued.
  static constexpr milliseconds ConfirmLifetime{1500};

  explicit grant_issuer(grant_rules Rules) : Rules(Rules) {}

  /// Confirms which upstreams this instance owns; must be repeated well within
  /// ConfirmLifetime. An upstream that is new, or was not confirmed in time,
  /// gets no grants for a whole term, until the grants of another owner have
  /// expired.
  void setOwned(const std::vector<upstream_record> &Owned, monotonic_time Now);

  void noteReport(const upstream_id &Id, const load_report &Report,
                  monotonic_time Now);

  /// Returns the grant for \p Request, with an empty share when the upstream
  /// has nothing left or takes no new work. Returns nothing when the upstream
  /// is not owned, not confirmed recently or not owned for a whole term; the
  /// holder then keeps its grant from a former owner.
  std::optional<grant> issue(const grant_request &Request, monotonic_time Now);

  /// Returns the phase of an owned upstream; Unknown for others.
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
  static void removeEnded(owned_upstream &Upstream, monotonic_time Now);
  std::optional<grant> issueFrom(owned_upstream &Upstream,
                                 const grant_request &Request,
                                 monotonic_time Now);

  grant_rules Rules;
  sharded<owned_map> Owned;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_GRANTISSUER_H
