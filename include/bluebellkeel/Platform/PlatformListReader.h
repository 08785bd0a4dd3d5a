#ifndef BLUEBELLKEEL_PLATFORM_PLATFORMLISTREADER_H
#define BLUEBELLKEEL_PLATFORM_PLATFORMLISTREADER_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http/HttpClient.h"
#include "bluebellkeel/Platform/PlatformError.h"
#include "bluebellkeel/Platform/PlatformList.h"
#include <cstdint>
#include <optional>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Reads the platform's list of live and leaving instances and upstreams. Must
/// be used from one thread only.
class platform_list_reader {
public:
  platform_list_reader(network_address Address, http_timeouts Timeouts)
      : Address(std::move(Address)), Client(Timeouts) {}

  /// Returns the list; empty if its hash equals that of the last list read,
  /// since parsing a long list costs far more than hashing it.
  tl::expected<std::optional<platform_list>, platform_error> read();

private:
  network_address Address;
  http_client Client;
  std::optional<std::uint64_t> LastHash;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PLATFORM_PLATFORMLISTREADER_H
