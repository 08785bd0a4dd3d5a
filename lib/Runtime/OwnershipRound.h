#ifndef BLUEBELLKEEL_LIB_RUNTIME_OWNERSHIPROUND_H
#define BLUEBELLKEEL_LIB_RUNTIME_OWNERSHIPROUND_H

#include "OwnerBook.h"
#include "bluebellkeel/Upstream/GrantIssuer.h"
#include "bluebellkeel/Upstream/UpstreamDirectory.h"

namespace bluebellkeel {

/// Confirms to the grant issuer what this instance owns.
class ownership_round {
public:
  ownership_round(const time_source &Clock, const owner_book &Owners,
                  const upstream_directory &Upstreams, grant_issuer &Issuer)
      : Clock(Clock), Owners(Owners), Upstreams(Upstreams), Issuer(Issuer) {}

  void run() {
    std::vector<upstream_record> Owned;
    if (Owners.inTouch())
      Owned = Owners.ownedOf(Upstreams.list()->records());
    Issuer.setOwned(Owned, Clock.monotonicNow());
  }

private:
  const time_source &Clock;
  const owner_book &Owners;
  const upstream_directory &Upstreams;
  grant_issuer &Issuer;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_OWNERSHIPROUND_H
