#ifndef BLUEBELLKEEL_POLICY_CRASHRECORDLOG_H
#define BLUEBELLKEEL_POLICY_CRASHRECORDLOG_H

#include "bluebellkeel/Policy/CrashRecord.h"
#include <optional>
#include <vector>

namespace bluebellkeel {

/// Log that keeps blocked requests for instances that start when none of those
/// that saw the crashes is left. Calls may block.
class crash_record_log {
public:
  virtual ~crash_record_log() = default;

  /// Returns the newest record of each request; empty if the log cannot be
  /// read.
  virtual std::optional<std::vector<crash_record>> read() = 0;
  /// Replaces the record of a request. Returns false if this was not done, or
  /// if the outcome is unknown.
  virtual bool write(const crash_record &Record) = 0;
  /// Removes the record of \p Request; returns as write().
  virtual bool remove(const fingerprint &Request) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CRASHRECORDLOG_H
