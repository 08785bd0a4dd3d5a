#include "bluebellkeel/Gateway/StopSequence.h"
#include "absl/time/clock.h"
#include "bluebellkeel/Http/CloseConnections.h"
#include <algorithm>

using namespace bluebellkeel;

/// Time for callers that have just connected to send their requests.
static constexpr milliseconds LastArrivalTime{100};
/// Time for requests that have arrived in part to arrive whole.
static constexpr milliseconds RestArrivalTime{1000};

static void sleepFor(milliseconds Time) {
  absl::SleepFor(absl::FromChrono(Time));
}

event_line &stop_sequence::addState(event_line &Line,
                                    monotonic_time Start) const {
  auto After =
      std::chrono::duration_cast<milliseconds>(Clock.monotonicNow() - Start);
  return Line.add("after_ms", After.count())
      .add("active", static_cast<std::int64_t>(Callers.active()))
      .add("open_connections",
           static_cast<std::int64_t>(Callers.connections()));
}

void stop_sequence::run(const stop_schedule &Schedule,
                        const std::function<void()> &Announce) {
  monotonic_time Start = Clock.monotonicNow();
  event_line Begin("gateway", "stop");
  Log.write(addState(Begin, Start));
  State.stopBy(Start + Schedule.responsesEnd());
  State.advance(serving_phase::Redirecting);
  Callers.disableKeepAlive();
  Announce();
  // Callers cache addresses, and no event shows when the caches expire.
  sleepFor(Schedule.longAdmission());
  State.advance(serving_phase::Draining);
  sleepFor(Schedule.minServing() - Schedule.longAdmission());
  auto LastDrain = Start + Schedule.responsesEnd() - LastArrivalTime;
  bool Idle = Callers.awaitIdle(
      std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                    LastDrain - Clock.monotonicNow())));
  event_line Closing("gateway", "closing");
  Closing.add("idle", Idle);
  Log.write(addState(Closing, Start));
  // An idle server may get a request at any moment, so only closed connections
  // show that none is left.
  Callers.drain();
  sleepFor(LastArrivalTime);
  closeConnections(Callers,
                   std::min(Clock.monotonicNow() + RestArrivalTime,
                            Start + Schedule.responsesEnd()),
                   Start + Schedule.end());
  State.advance(serving_phase::Ended);
  event_line End("gateway", "stopped");
  Log.write(addState(End, Start));
}
