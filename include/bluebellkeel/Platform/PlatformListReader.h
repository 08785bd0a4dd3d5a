#ifndef BLUEBELLKEEL_PLATFORM_PLATFORMLISTREADER_H
#define BLUEBELLKEEL_PLATFORM_PLATFORMLISTREADER_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http/HttpClient.h"
#include "bluebellkeel/Platform/PlatformError.h"
#include "bluebellkeel/Platform/PlatformList.h"
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Reads the platform's list of live and leaving instances. Entries that make
/// no sense are left out rather than spoil the rest.
class platform_list_reader {
public:
  platform_list_reader(network_address Address, http_timeouts Timeouts)
      : Address(std::move(Address)), Client(Timeouts) {}

  tl::expected<platform_list, platform_error> read() const;

private:
  network_address Address;
  http_client Client;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PLATFORM_PLATFORMLISTREADER_H
