#include "bluebellkeel/Telemetry/EventWriter.h"
#include "absl/time/time.h"
#include <log4cxx/logger.h>

using namespace bluebellkeel;

event_writer::event_writer(std::string Instance, const time_source &Clock)
    : Instance(std::move(Instance)), Clock(Clock), Thread([this] { run(); }) {}

event_writer::~event_writer() {
  {
    absl::MutexLock Lock(&Mutex);
    Stopped = true;
  }
  Thread.join();
}

void event_writer::write(const event_line &Line) {
  auto Wall = std::chrono::duration_cast<milliseconds>(
      Clock.wallNow().time_since_epoch());
  event_line Stamped = Line;
  Stamped.add("instance", Instance).add("unix_ms", Wall.count());
  std::string Text = Stamped.text();
  absl::MutexLock Lock(&Mutex);
  if (QueuedLines.size() >= MaxQueuedLines ||
      QueuedBytes + Text.size() > MaxQueuedBytes) {
    ++DroppedLines;
    return;
  }
  QueuedBytes += Text.size();
  QueuedLines.push_back(std::move(Text));
}

void event_writer::flush(milliseconds Limit) const {
  absl::MutexLock Lock(&Mutex);
  Mutex.AwaitWithTimeout(absl::Condition(this, &event_writer::isIdle),
                         absl::FromChrono(Limit));
}

std::uint64_t event_writer::droppedLines() const {
  absl::MutexLock Lock(&Mutex);
  return DroppedLines;
}

void event_writer::run() {
  auto Logger = log4cxx::Logger::getLogger("bluebellkeel.events");
  std::uint64_t ReportedDrops = 0;
  while (true) {
    std::vector<std::string> Lines;
    std::uint64_t TotalDrops = 0;
    {
      absl::MutexLock Lock(&Mutex);
      Writing = false;
      Mutex.Await(absl::Condition(this, &event_writer::hasWork));
      if (QueuedLines.empty())
        return;
      Lines.swap(QueuedLines);
      QueuedBytes = 0;
      Writing = true;
      TotalDrops = DroppedLines;
    }
    if (TotalDrops > ReportedDrops) {
      event_line Line("log", "lines_left_out");
      Line.add("count", static_cast<std::int64_t>(TotalDrops - ReportedDrops));
      Lines.push_back(Line.text());
      ReportedDrops = TotalDrops;
    }
    for (const auto &Line : Lines)
      LOG4CXX_INFO(Logger, Line);
  }
}
