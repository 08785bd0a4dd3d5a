#ifndef BLUEBELLKEEL_DUTY_DUTYSTORE_H
#define BLUEBELLKEEL_DUTY_DUTYSTORE_H

#include "bluebellkeel/Duty/DutyPage.h"
#include "bluebellkeel/Journal/JournalError.h"
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Holds the record of the duties. Calls wait for the log's response.
class duty_store {
public:
  virtual ~duty_store() = default;

  virtual tl::expected<duty_page, journal_error> read() = 0;
  /// Replaces the record if the topic still ends at \p At; returns
  /// journal_error::Conflict otherwise. Returns the new end.
  virtual tl::expected<log_position, journal_error>
  write(const duty_record &Record, const log_position &At) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_DUTYSTORE_H
