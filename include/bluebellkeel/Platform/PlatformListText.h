#ifndef BLUEBELLKEEL_PLATFORM_PLATFORMLISTTEXT_H
#define BLUEBELLKEEL_PLATFORM_PLATFORMLISTTEXT_H

#include "bluebellkeel/Platform/PlatformError.h"
#include "bluebellkeel/Platform/PlatformList.h"
#include <string>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Reads the list as the platform writes it. Entries that make no sense are
/// left out rather than spoil the rest.
tl::expected<platform_list, platform_error>
parsePlatformList(const std::string &Text);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PLATFORM_PLATFORMLISTTEXT_H
