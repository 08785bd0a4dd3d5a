#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMLISTING_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMLISTING_H

#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Core/VersionId.h"
#include "bluebellkeel/Upstream/UpstreamIncarnation.h"

namespace bluebellkeel {

/// An upstream's registration of itself.
class upstream_listing : public comparable<upstream_listing> {
public:
  /// Constructor arguments of upstream_listing.
  struct fields {
    upstream_id Id;
    service_id Service;
    network_address Address;
    data_centre_id DataCentre;
    version_id Version;
    std::uint32_t Slots = 0;
    bool Leaving = false;
    milliseconds ColdLeft{0};
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
  };

  upstream_listing() = default;
  explicit upstream_listing(fields Fields) : Content(std::move(Fields)) {}

  const upstream_id &id() const { return Content.Id; }
  const service_id &service() const { return Content.Service; }
  const network_address &address() const { return Content.Address; }
  const data_centre_id &dataCentre() const { return Content.DataCentre; }
  /// Version of the upstream's software.
  const version_id &version() const { return Content.Version; }
  std::uint32_t slots() const { return Content.Slots; }
  /// True once the upstream has announced that it will leave.
  bool leaving() const { return Content.Leaving; }
  /// Time from the registration until the upstream is no longer cold.
  milliseconds coldLeft() const { return Content.ColdLeft; }
  /// Increases with each start under the same id.
  std::uint64_t incarnation() const { return Content.Incarnation; }
  /// Returns the id together with the incarnation.
  upstream_incarnation incarnationKey() const {
    return upstream_incarnation(Content.Id, Content.Incarnation);
  }
  /// Increases with each registration of one incarnation.
  std::uint64_t sequence() const { return Content.Sequence; }
  /// Orders the listings of one upstream by age.
  auto age() const { return std::tie(Content.Incarnation, Content.Sequence); }

  auto key() const {
    return std::tie(Content.Id, Content.Service, Content.Address,
                    Content.DataCentre, Content.Version, Content.Slots,
                    Content.Leaving, Content.ColdLeft, Content.Incarnation,
                    Content.Sequence);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMLISTING_H
