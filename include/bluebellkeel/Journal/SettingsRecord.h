#ifndef BLUEBELLKEEL_JOURNAL_SETTINGSRECORD_H
#define BLUEBELLKEEL_JOURNAL_SETTINGSRECORD_H

#include "bluebellkeel/Settings/SettingsChange.h"
#include "bluebellkeel/Settings/SettingsSnapshot.h"
#include <variant>

namespace bluebellkeel {

/// A record of the settings stream.
using settings_record = std::variant<settings_change, settings_snapshot>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_SETTINGSRECORD_H
