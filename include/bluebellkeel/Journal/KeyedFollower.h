#ifndef BLUEBELLKEEL_JOURNAL_KEYEDFOLLOWER_H
#define BLUEBELLKEEL_JOURNAL_KEYEDFOLLOWER_H

#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/KeyedLog.h"
#include "bluebellkeel/Journal/KeyedView.h"
#include "bluebellkeel/Journal/LogFreshness.h"
#include "bluebellkeel/Journal/PollResult.h"

namespace bluebellkeel {

/// Keeps a view up to date with one topic of the log. To be used by one
/// coroutine or thread at a time.
class keyed_follower {
public:
  keyed_follower(keyed_topic Topic, keyed_view &View, log_freshness &Freshness,
                 const time_source &Clock)
      : Topic(Topic), View(View), Freshness(Freshness), Clock(Clock) {}

  /// Reads the topic once: all keys on the first call, after retention dropped
  /// records and after the log was restored from a copy, otherwise the new
  /// records, waiting at most \p Wait for the first.
  tl::expected<poll_result, journal_error> poll(keyed_log &Log,
                                                milliseconds Wait);

private:
  /// Reads the new records, or all keys if Synced is false on return.
  tl::expected<keyed_page, journal_error> readPage(keyed_log &Log,
                                                   milliseconds Wait);

  keyed_topic Topic;
  keyed_view &View;
  log_freshness &Freshness;
  const time_source &Clock;
  bool Synced = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDFOLLOWER_H
