#ifndef BLUEBELLKEEL_JOURNAL_SETTINGSLOG_H
#define BLUEBELLKEEL_JOURNAL_SETTINGSLOG_H

#include "bluebellkeel/Journal/RecordLog.h"
#include "bluebellkeel/Journal/SettingsRecord.h"

namespace bluebellkeel {

/// The stream that operators publish settings to.
using settings_log = record_log<settings_record>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_SETTINGSLOG_H
