#ifndef BLUEBELLKEEL_LIB_RUNTIME_OWNERSHIPUPDATER_H
#define BLUEBELLKEEL_LIB_RUNTIME_OWNERSHIPUPDATER_H

#include "OwnershipResolver.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Upstream/GrantIssuer.h"
#include "bluebellkeel/Upstream/UpstreamDirectory.h"

namespace bluebellkeel {

/// Passes the upstreams that this instance owns to the grant issuer. They are
/// recomputed only when the candidates or the list of upstreams have changed,
/// since that takes one hash per candidate and upstream.
class ownership_updater {
public:
  using record_list = std::vector<upstream_record>;

  ownership_updater(const time_source &Clock, const ownership_resolver &Owners,
                    const upstream_directory &Upstreams, grant_issuer &Issuer)
      : Clock(Clock), Owners(Owners), Upstreams(Upstreams), Issuer(Issuer) {}

  void run();

  /// Returns the upstreams that this instance owned at the last run.
  record_list owned() const;

private:
  record_list computeOwned() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  const time_source &Clock;
  const ownership_resolver &Owners;
  const upstream_directory &Upstreams;
  grant_issuer &Issuer;
  mutable absl::Mutex Mutex;
  upstream_directory::list_ptr List ABSL_GUARDED_BY(Mutex);
  std::vector<instance_id> Candidates ABSL_GUARDED_BY(Mutex);
  record_list CachedOwned ABSL_GUARDED_BY(Mutex);
  record_list Owned ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_OWNERSHIPUPDATER_H
