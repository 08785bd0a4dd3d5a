#ifndef BLUEBELLKEEL_GATEWAY_STOPSEQUENCE_H
#define BLUEBELLKEEL_GATEWAY_STOPSEQUENCE_H

#include "bluebellkeel/Core/EventLog.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Gateway/GatewayState.h"
#include "bluebellkeel/Gateway/StopSchedule.h"
#include "bluebellkeel/Http/StoppableServer.h"
#include <functional>

namespace bluebellkeel {

/// The shutdown of a gateway: redirects callers to other instances and
/// completes the requests that were accepted.
class stop_sequence {
public:
  stop_sequence(gateway_state &State, stoppable_server &Callers,
                const time_source &Clock, event_log &Log)
      : State(State), Callers(Callers), Clock(Clock), Log(Log) {}

  /// Blocks until the process may end.
  ///
  /// \param Announce tells other instances that this one is leaving.
  void run(const stop_schedule &Schedule,
           const std::function<void()> &Announce);

private:
  /// Adds what the callers' server still has to do.
  event_line &addState(event_line &Line, monotonic_time Start) const;

  gateway_state &State;
  stoppable_server &Callers;
  const time_source &Clock;
  event_log &Log;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_STOPSEQUENCE_H
