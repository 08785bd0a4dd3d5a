#ifndef BLUEBELLKEEL_JOURNAL_JOURNALERROR_H
#define BLUEBELLKEEL_JOURNAL_JOURNALERROR_H

#include <string_view>

namespace bluebellkeel {

/// Why an operation on the log failed.
enum class journal_error {
  /// The log is unreachable or down; nothing was appended.
  Unavailable,
  /// The append may have taken effect, but the response did not arrive.
  InDoubt,
  /// The log's response could not be parsed.
  Malformed,
  /// Retention has dropped the requested records.
  Trimmed,
  /// The bounded queue in front of the log is full; nothing was sent.
  QueueFull,
  /// The log no longer ends at the offset that the append requires; nothing was
  /// appended.
  Conflict,
  /// The response is from before the log was restored from a copy.
  OldEra,
};

std::string_view toString(journal_error Error);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_JOURNALERROR_H
