#ifndef BLUEBELLKEEL_LIB_RUNTIME_GRANTREQUESTER_H
#define BLUEBELLKEEL_LIB_RUNTIME_GRANTREQUESTER_H

#include "OwnershipResolver.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Upstream/GrantHolder.h"
#include "bluebellkeel/Upstream/GrantIssuer.h"

namespace bluebellkeel {

/// Requests the grants that this instance needs from the owners of upstreams.
class grant_requester {
public:
  grant_requester(instance_id Self, const time_source &Clock,
                  const ownership_resolver &Owners, grant_holder &Grants,
                  grant_issuer &Issuer, peer_link &Link)
      : Self(std::move(Self)), Clock(Clock), Owners(Owners), Grants(Grants),
        Issuer(Issuer), Link(Link) {}

  void run();

private:
  void askSelf(const std::vector<grant_request> &Requests);
  void askPeer(const instance_record &Owner,
               const std::vector<grant_request> &Requests);

  instance_id Self;
  const time_source &Clock;
  const ownership_resolver &Owners;
  grant_holder &Grants;
  grant_issuer &Issuer;
  peer_link &Link;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_GRANTREQUESTER_H
