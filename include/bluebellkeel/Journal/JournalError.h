#ifndef BLUEBELLKEEL_JOURNAL_JOURNALERROR_H
#define BLUEBELLKEEL_JOURNAL_JOURNALERROR_H

#include <string_view>

namespace bluebellkeel {

/// Why the log did not do what was asked.
enum class journal_error {
  /// Nothing reached the log.
  Unavailable,
  /// The append may have taken effect; its answer did not come.
  InDoubt,
  /// The answer of the log could not be read.
  Malformed,
  /// Retention has dropped the records asked for.
  Trimmed,
  /// The bounded queue before the log is full; nothing was sent.
  QueueFull,
  /// The log no longer ends where the append asked for; nothing was appended.
  Conflict,
};

std::string_view toString(journal_error Error);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_JOURNALERROR_H
