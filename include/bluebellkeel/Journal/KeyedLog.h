#ifndef BLUEBELLKEEL_JOURNAL_KEYEDLOG_H
#define BLUEBELLKEEL_JOURNAL_KEYEDLOG_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Journal/JournalError.h"
#include "bluebellkeel/Journal/KeyedPage.h"
#include "bluebellkeel/Journal/KeyedTopic.h"
#include <optional>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// The keyed topics of the platform's log. Each call waits for the log's
/// response.
class keyed_log {
public:
  virtual ~keyed_log() = default;

  /// Returns the newest record of each key.
  virtual tl::expected<keyed_page, journal_error>
  readLatest(keyed_topic Topic) = 0;
  /// Returns the records after \p After; waits at most \p Wait for the first.
  /// Returns journal_error::Trimmed when the log does not have them; a page of
  /// another era when it was restored since.
  virtual tl::expected<keyed_page, journal_error>
  read(keyed_topic Topic, const log_position &After, milliseconds Wait) = 0;
  /// Appends one record and returns its position. With \p At, appends only if
  /// the topic still ends at that offset, and otherwise returns
  /// journal_error::Conflict.
  virtual tl::expected<log_position, journal_error>
  append(keyed_topic Topic, const std::string &Key, const std::string &Value,
         std::optional<log_offset> At) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDLOG_H
