#ifndef TEST_SOAK_GATEWAYEXIT_H
#define TEST_SOAK_GATEWAYEXIT_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// Exit of a gateway after a stop request.
class gateway_exit : public comparable<gateway_exit> {
public:
  gateway_exit(int Gateway, milliseconds StopRequested, milliseconds Ended,
               int Code, bool HadStarted)
      : Gateway(Gateway), StopRequested(StopRequested), Ended(Ended),
        Code(Code), HadStarted(HadStarted) {}

  int gateway() const { return Gateway; }
  /// Time since the start of the run, as in ended().
  milliseconds stopRequestedAt() const { return StopRequested; }
  milliseconds ended() const { return Ended; }
  /// Returns the exit code, or -1 if a signal ended the process.
  int code() const { return Code; }
  /// True if the gateway's log has its start line. A process that is stopped
  /// while it is being loaded ends with the signal and has accepted nothing.
  bool hadStarted() const { return HadStarted; }
  auto key() const {
    return std::tie(Gateway, StopRequested, Ended, Code, HadStarted);
  }

private:
  int Gateway;
  milliseconds StopRequested;
  milliseconds Ended;
  int Code;
  bool HadStarted;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_GATEWAYEXIT_H
