#ifndef BLUEBELLKEEL_STARTUP_STARTUPREADER_H
#define BLUEBELLKEEL_STARTUP_STARTUPREADER_H

#include "bluebellkeel/Settings/SettingsError.h"
#include "bluebellkeel/Startup/StartupSettings.h"
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace bluebellkeel {

/// Parses a settings file, which is JSON with comments. Returns all errors in
/// the file, each with its path, the expected and the found value.
tl::expected<startup_settings, std::vector<settings_error>>
readStartupSettings(std::string_view Text);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_STARTUPREADER_H
