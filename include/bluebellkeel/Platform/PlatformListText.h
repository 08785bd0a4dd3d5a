#ifndef BLUEBELLKEEL_PLATFORM_PLATFORMLISTTEXT_H
#define BLUEBELLKEEL_PLATFORM_PLATFORMLISTTEXT_H

#include "bluebellkeel/Platform/PlatformError.h"
#include "bluebellkeel/Platform/PlatformList.h"
#include <string>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Parses the platform's list. Invalid entries are skipped, so that they do not
/// invalidate the rest.
tl::expected<platform_list, platform_error>
parsePlatformList(const std::string &Text);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PLATFORM_PLATFORMLISTTEXT_H
