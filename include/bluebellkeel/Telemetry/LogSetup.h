#ifndef BLUEBELLKEEL_TELEMETRY_LOGSETUP_H
#define BLUEBELLKEEL_TELEMETRY_LOGSETUP_H

#include <string_view>

namespace bluebellkeel {

/// Writes log lines of at least \p Level (debug, info, warn, error) to standard
/// error. Returns false if \p Level is none of these.
bool setUpLog(std::string_view Level);

/// Writes the structured log, and nothing else, to standard output.
void setUpEventLog();

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_TELEMETRY_LOGSETUP_H
