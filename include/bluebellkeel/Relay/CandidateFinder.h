#ifndef BLUEBELLKEEL_RELAY_CANDIDATEFINDER_H
#define BLUEBELLKEEL_RELAY_CANDIDATEFINDER_H

#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Policy/UpstreamChooser.h"
#include "bluebellkeel/Settings/RoutingSettings.h"
#include "bluebellkeel/Upstream/GrantHolder.h"
#include "bluebellkeel/Upstream/HealthTracker.h"
#include "bluebellkeel/Upstream/UpstreamDirectory.h"
#include <optional>
#include <set>
#include <vector>

namespace bluebellkeel {

/// Finds the upstreams of a pool that may accept new work now.
class candidate_finder {
public:
  candidate_finder(const upstream_directory &Directory, grant_holder &Grants,
                   health_tracker &Health, data_centre_id LocalCentre)
      : Directory(Directory), Grants(Grants), Health(Health),
        LocalCentre(std::move(LocalCentre)) {}

  /// Returns the upstreams of \p Pool, best first. Omits leaving upstreams and
  /// those in a data centre that is out of service. Upstreams in \p Tried and
  /// unhealthy ones are returned only if there are no others.
  std::vector<upstream_record> find(const pool_id &Pool,
                                    const routing_settings &Settings,
                                    const std::set<upstream_id> &Tried,
                                    upstream_chooser &Chooser,
                                    const fingerprint &Prefix) const;

  /// Returns the upstream as the platform lists it now; empty if it is gone or
  /// may no longer accept new work.
  std::optional<upstream_record>
  dispatchable(const upstream_id &Id, const routing_settings &Settings) const;

private:
  const upstream_directory &Directory;
  grant_holder &Grants;
  health_tracker &Health;
  data_centre_id LocalCentre;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_CANDIDATEFINDER_H
