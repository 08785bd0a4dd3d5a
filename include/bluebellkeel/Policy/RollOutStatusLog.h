#ifndef BLUEBELLKEEL_POLICY_ROLLOUTSTATUSLOG_H
#define BLUEBELLKEEL_POLICY_ROLLOUTSTATUSLOG_H

#include "bluebellkeel/Policy/RollOutStatusPage.h"
#include <optional>

namespace bluebellkeel {

/// Where operators read how roll-outs stand. May make its caller wait.
class roll_out_status_log {
public:
  virtual ~roll_out_status_log() = default;

  /// Empty when the log cannot be read.
  virtual std::optional<roll_out_status_page> readStatuses() = 0;
  /// Appends if the log still ends at \p End, so that a writer that was paused
  /// meanwhile changes nothing. False when it was not done, or may not be.
  virtual bool append(const roll_out_status &Status, log_offset End) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTSTATUSLOG_H
