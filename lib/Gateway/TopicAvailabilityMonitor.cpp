#include "TopicAvailabilityMonitor.h"

using namespace bluebellkeel;

static std::int64_t toField(const log_position &Position) {
  return static_cast<std::int64_t>(Position.offset().value());
}

std::int64_t
topic_availability_monitor::millisSince(monotonic_time Then) const {
  return std::chrono::duration_cast<milliseconds>(Clock.monotonicNow() - Then)
      .count();
}

bool topic_availability_monitor::succeeded(log_position End) {
  if (!LostAt)
    return false;
  event_line Line("log", "dependency_regained");
  Line.add("topic", toString(Topic))
      .add("after_ms", millisSince(*LostAt))
      .add("failed_reads", FailedReads)
      .add("offset", toField(End));
  Log.write(Line);
  LostAt.reset();
  FailedReads = 0;
  return true;
}

void topic_availability_monitor::allKeysRead(log_position Known,
                                             const poll_result &Read) {
  event_line Line("log", "all_keys_read");
  Line.add("topic", toString(Topic))
      .add("known_offset", toField(Known))
      .add("offset", toField(Read.end()))
      .add("records", static_cast<std::int64_t>(Read.records()));
  Log.write(Line);
}

void topic_availability_monitor::restored(const log_position &Known,
                                          const log_position &End) {
  event_line Line("log", "restored");
  Line.add("topic", toString(Topic))
      .add("known_era", static_cast<std::int64_t>(Known.era()))
      .add("known_offset", toField(Known))
      .add("era", static_cast<std::int64_t>(End.era()))
      .add("offset", toField(End));
  Log.write(Line);
}

void topic_availability_monitor::failed(journal_error Error,
                                        monotonic_time RequestedAt,
                                        log_position End,
                                        std::optional<milliseconds> Age) {
  ++FailedReads;
  if (LostAt)
    return;
  LostAt = Clock.monotonicNow();
  event_line Line("log", "dependency_lost");
  Line.add("topic", toString(Topic))
      .add("error", toString(Error))
      .add("waited_ms", millisSince(RequestedAt))
      .add("offset", toField(End));
  if (Age)
    Line.add("age_ms", Age->count());
  Log.write(Line);
}
