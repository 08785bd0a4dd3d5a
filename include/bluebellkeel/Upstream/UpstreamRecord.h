#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMRECORD_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMRECORD_H

#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Upstream/LoadAmount.h"
#include "bluebellkeel/Upstream/PoolId.h"
#include "bluebellkeel/Upstream/UpstreamKind.h"
#include <tuple>

namespace bluebellkeel {

/// An upstream's entry in the platform's list.
class upstream_record : public comparable<upstream_record> {
public:
  upstream_record() = default;
  upstream_record(upstream_id Id, data_centre_id DataCentre,
                  network_address Address, upstream_kind Kind, pool_id Pool,
                  bool Leaving, load_amount Warm, load_amount Cold)
      : Id(std::move(Id)), DataCentre(std::move(DataCentre)),
        Address(std::move(Address)), Kind(Kind), Pool(std::move(Pool)),
        Leaving(Leaving), Warm(Warm), Cold(Cold) {}

  const upstream_id &id() const { return Id; }
  const data_centre_id &dataCentre() const { return DataCentre; }
  const network_address &address() const { return Address; }
  upstream_kind kind() const { return Kind; }
  const pool_id &pool() const { return Pool; }
  /// True once the platform lists the upstream as leaving.
  bool leaving() const { return Leaving; }
  /// Maximum concurrent load of the warm upstream.
  const load_amount &warm() const { return Warm; }
  /// Maximum concurrent load of the upstream after a start, while it is cold.
  const load_amount &cold() const { return Cold; }
  auto key() const {
    return std::tie(Id, DataCentre, Address, Kind, Pool, Leaving, Warm, Cold);
  }

private:
  upstream_id Id;
  data_centre_id DataCentre;
  network_address Address;
  upstream_kind Kind = upstream_kind::Engine;
  pool_id Pool;
  bool Leaving = false;
  load_amount Warm;
  load_amount Cold;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMRECORD_H
