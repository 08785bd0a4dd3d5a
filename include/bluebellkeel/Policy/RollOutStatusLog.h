#ifndef BLUEBELLKEEL_POLICY_ROLLOUTSTATUSLOG_H
#define BLUEBELLKEEL_POLICY_ROLLOUTSTATUSLOG_H

#include "bluebellkeel/Policy/RollOutStatusPage.h"
#include <optional>

namespace bluebellkeel {

/// Log in which the stages of roll-outs are published to the operators. Calls
/// may block.
class roll_out_status_log {
public:
  virtual ~roll_out_status_log() = default;

  /// Returns the published statuses; empty if the log cannot be read.
  virtual std::optional<roll_out_status_page> readStatuses() = 0;
  /// Appends \p Status if the log still ends at \p End, so that a writer that
  /// was paused after its read changes nothing. Returns false if the append was
  /// not done, or if its outcome is unknown.
  virtual bool append(const roll_out_status &Status,
                      const log_position &End) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTSTATUSLOG_H
