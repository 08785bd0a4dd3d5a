#ifndef BLUEBELLKEEL_JOURNAL_LOGPAGE_H
#define BLUEBELLKEEL_JOURNAL_LOGPAGE_H

#include "bluebellkeel/Journal/LogRecord.h"
#include <vector>

namespace bluebellkeel {

/// The result of one read of a stream.
template <typename entry_t>
class log_page : public comparable<log_page<entry_t>> {
public:
  using record = log_record<entry_t>;

  log_page() = default;
  log_page(log_offset FirstRetained, log_offset Head, log_offset ReadTo,
           std::vector<record> Records)
      : FirstRetained(FirstRetained), Head(Head), ReadTo(ReadTo),
        Records(std::move(Records)) {}

  /// The oldest offset that the stream still retains.
  log_offset firstRetained() const { return FirstRetained; }
  /// The newest offset of the stream when it was read.
  log_offset head() const { return Head; }
  /// The last offset that this page covers. Records that cannot be decoded are
  /// covered but not listed.
  log_offset readTo() const { return ReadTo; }
  const std::vector<record> &records() const { return Records; }
  auto key() const { return std::tie(FirstRetained, Head, ReadTo, Records); }

private:
  log_offset FirstRetained;
  log_offset Head;
  log_offset ReadTo;
  std::vector<record> Records;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_LOGPAGE_H
