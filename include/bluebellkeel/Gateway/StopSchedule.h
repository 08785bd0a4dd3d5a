#ifndef BLUEBELLKEEL_GATEWAY_STOPSCHEDULE_H
#define BLUEBELLKEEL_GATEWAY_STOPSCHEDULE_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// The phases of a shutdown, as times since its start.
class stop_schedule : public comparable<stop_schedule> {
public:
  /// \param Grace time from the start of the shutdown until the platform kills
  /// the process.
  explicit stop_schedule(milliseconds Grace);

  /// From then on, requests that may outlast the process are refused.
  milliseconds longAdmission() const { return LongAdmission; }
  /// From then on, the process ends as soon as no request is running, since its
  /// successor serves callers better.
  milliseconds minServing() const { return MinServing; }
  /// Every response must be complete by then.
  milliseconds responsesEnd() const { return ResponsesEnd; }
  /// The process ends by itself by then.
  milliseconds end() const { return End; }
  auto key() const {
    return std::tie(LongAdmission, MinServing, ResponsesEnd, End);
  }

private:
  milliseconds End;
  milliseconds ResponsesEnd;
  milliseconds LongAdmission;
  milliseconds MinServing;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_STOPSCHEDULE_H
