#ifndef BLUEBELLKEEL_PLATFORM_RATERCLIENT_H
#define BLUEBELLKEEL_PLATFORM_RATERCLIENT_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/VersionId.h"
#include "bluebellkeel/Http/HttpClient.h"
#include "bluebellkeel/Platform/PlatformError.h"
#include "bluebellkeel/Platform/Rating.h"
#include <tl/expected.hpp>
#include <vector>

namespace bluebellkeel {

/// Submits responses to the rating service and fetches their ratings.
class rater_client {
public:
  rater_client(network_address Address, http_timeouts Timeouts,
               instance_id Origin)
      : Address(std::move(Address)), Client(Timeouts),
        Origin(std::move(Origin)) {}

  tl::expected<void, platform_error> submit(const version_id &Version,
                                            const std::string &Answer) const;

  /// Returns the ratings of this origin's responses with a number above
  /// \p After.
  tl::expected<std::vector<rating>, platform_error>
  fetch(std::uint64_t After) const;

private:
  network_address Address;
  http_client Client;
  instance_id Origin;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PLATFORM_RATERCLIENT_H
