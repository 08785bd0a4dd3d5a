#ifndef BLUEBELLKEEL_UPSTREAM_REGISTRYENTRY_H
#define BLUEBELLKEEL_UPSTREAM_REGISTRYENTRY_H

#include "bluebellkeel/Upstream/UpstreamListing.h"

namespace bluebellkeel {

/// A listing with the times at which this instance received it and until which
/// the upstream is cold.
class registry_entry : public comparable<registry_entry> {
public:
  registry_entry(upstream_listing Listing, monotonic_time ReceivedAt,
                 monotonic_time ColdUntil)
      : Listing(std::move(Listing)), ReceivedAt(ReceivedAt),
        ColdUntil(ColdUntil) {}

  const upstream_listing &listing() const { return Listing; }
  monotonic_time receivedAt() const { return ReceivedAt; }
  monotonic_time coldUntil() const { return ColdUntil; }
  auto key() const { return std::tie(Listing, ReceivedAt, ColdUntil); }

private:
  upstream_listing Listing;
  monotonic_time ReceivedAt;
  monotonic_time ColdUntil;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_REGISTRYENTRY_H
