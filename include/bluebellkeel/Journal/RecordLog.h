#ifndef BLUEBELLKEEL_JOURNAL_RECORDLOG_H
#define BLUEBELLKEEL_JOURNAL_RECORDLOG_H

#include "bluebellkeel/Journal/JournalError.h"
#include "bluebellkeel/Journal/LogPage.h"
#include <cstddef>
#include <tl/expected.hpp>
#include <vector>

namespace bluebellkeel {

/// One typed stream of the platform's log. Calls block until the log responds
/// or a timeout expires, so call them only from threads that may block.
template <typename entry_t> class record_log {
public:
  virtual ~record_log() = default;

  /// Appends \p Entries as one append and returns the offset of the first.
  virtual tl::expected<log_offset, journal_error>
  append(const std::vector<entry_t> &Entries) = 0;

  /// Reads at most \p MaxRecords records, starting at \p From.
  virtual tl::expected<log_page<entry_t>, journal_error>
  read(log_offset From, std::size_t MaxRecords) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_RECORDLOG_H
