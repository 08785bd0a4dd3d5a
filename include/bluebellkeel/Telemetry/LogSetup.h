#ifndef BLUEBELLKEEL_TELEMETRY_LOGSETUP_H
#define BLUEBELLKEEL_TELEMETRY_LOGSETUP_H

#include <string_view>

namespace bluebellkeel {

/// Sends log lines of at least \p Level (debug, info, warn, error) to standard
/// error. False when there is no such level.
bool setUpLog(std::string_view Level);

/// Sends the structured log, and nothing else, to standard output.
void setUpEventLog();

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_TELEMETRY_LOGSETUP_H
