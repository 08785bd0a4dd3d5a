#ifndef BLUEBELLKEEL_STARTUP_GATEWAYSETTINGSREADER_H
#define BLUEBELLKEEL_STARTUP_GATEWAYSETTINGSREADER_H

#include "bluebellkeel/Settings/SettingsError.h"
#include "bluebellkeel/Startup/GatewaySettings.h"
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace bluebellkeel {

/// Parses the settings file of a gateway, which is JSON with comments. Returns
/// all errors in the file, each with its path, the expected and the found
/// value.
tl::expected<gateway_settings, std::vector<settings_error>>
readGatewaySettings(std::string_view Text);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_GATEWAYSETTINGSREADER_H
