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
  absl::MutexLock Lock(&Mutex);
  if (Waiting.size() >= MaxWaiting) {
    ++LeftOut;
    return;
  }
  Waiting.push_back(Stamped.text());
}

void event_writer::flush(milliseconds Limit) const {
  absl::MutexLock Lock(&Mutex);
  Mutex.AwaitWithTimeout(absl::Condition(this, &event_writer::isIdle),
                         absl::FromChrono(Limit));
}

std::uint64_t event_writer::leftOut() const {
  absl::MutexLock Lock(&Mutex);
  return LeftOut;
}

void event_writer::run() {
  auto Logger = log4cxx::Logger::getLogger("bluebellkeel.events");
  std::uint64_t Told = 0;
  while (true) {
    std::vector<std::string> Lines;
    std::uint64_t Missing = 0;
    {
      absl::MutexLock Lock(&Mutex);
      Writing = false;
      Mutex.Await(absl::Condition(this, &event_writer::hasWork));
      if (Waiting.empty())
        return;
      Lines.swap(Waiting);
      Writing = true;
      Missing = LeftOut;
    }
    if (Missing > Told) {
      event_line Line("log", "lines_left_out");
      Line.add("count", static_cast<std::int64_t>(Missing - Told));
      Lines.push_back(Line.text());
      Told = Missing;
    }
    for (const auto &Line : Lines)
      LOG4CXX_INFO(Logger, Line);
  }
}
