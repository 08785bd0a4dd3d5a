#ifndef UNITTESTS_SUPPORT_LISTINGOF_H
#define UNITTESTS_SUPPORT_LISTINGOF_H

#include "bluebellkeel/Upstream/UpstreamListing.h"

namespace bluebellkeel {

/// Returns the fields of an upstream of the service "engines", which tests
/// change as needed.
inline upstream_listing::fields listingOf(const std::string &Id) {
  upstream_listing::fields Fields;
  Fields.Id = upstream_id(Id);
  Fields.Service = service_id("engines");
  Fields.Address = network_address("10.0.0.1", 8000);
  Fields.DataCentre = data_centre_id("north");
  Fields.Version = version_id("v1");
  Fields.Slots = 8;
  Fields.Incarnation = 1;
  Fields.Sequence = 1;
  return Fields;
}

} // namespace bluebellkeel

#endif // UNITTESTS_SUPPORT_LISTINGOF_H
