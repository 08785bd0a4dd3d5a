#ifndef BLUEBELLKEEL_STARTUP_STARTUPREADER_H
#define BLUEBELLKEEL_STARTUP_STARTUPREADER_H

#include "bluebellkeel/Settings/SettingsError.h"
#include "bluebellkeel/Startup/StartupSettings.h"
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace bluebellkeel {

/// Reads a settings file, which is JSON with comments. On faults it returns
/// all of them, each with path, expected and found.
tl::expected<startup_settings, std::vector<settings_error>>
readStartupSettings(std::string_view Text);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_STARTUPREADER_H
