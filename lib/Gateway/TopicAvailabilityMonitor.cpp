#include "TopicAvailabilityMonitor.h"

using namespace bluebellkeel;

bool topic_availability_monitor::succeeded() {
  if (!LostAt)
    return false;
  event_line Line("log", "dependency_regained");
  Line.add("topic", toString(Topic))
      .add("after_ms", std::chrono::duration_cast<milliseconds>(
                           Clock.monotonicNow() - *LostAt)
                           .count());
  Log.write(Line);
  LostAt.reset();
  return true;
}

void topic_availability_monitor::failed(journal_error Error) {
  if (LostAt)
    return;
  LostAt = Clock.monotonicNow();
  event_line Line("log", "dependency_lost");
  Line.add("topic", toString(Topic)).add("error", toString(Error));
  Log.write(Line);
}
