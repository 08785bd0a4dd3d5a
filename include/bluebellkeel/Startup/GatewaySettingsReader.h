#ifndef BLUEBELLKEEL_STARTUP_GATEWAYSETTINGSREADER_H
#define BLUEBELLKEEL_STARTUP_GATEWAYSETTINGSREADER_H

#include "bluebellkeel/Settings/SettingsError.h"
#include "bluebellkeel/Startup/GatewaySettings.h"
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace bluebellkeel {

/// Reads the settings file of a gateway, which is JSON with comments. On
/// faults it returns all of them, each with path, expected and found.
tl::expected<gateway_settings, std::vector<settings_error>>
readGatewaySettings(std::string_view Text);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_GATEWAYSETTINGSREADER_H
