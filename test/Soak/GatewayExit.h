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
               int Code)
      : Gateway(Gateway), StopRequested(StopRequested), Ended(Ended),
        Code(Code) {}

  int gateway() const { return Gateway; }
  /// Time since the start of the run, as in ended().
  milliseconds stopRequestedAt() const { return StopRequested; }
  milliseconds ended() const { return Ended; }
  /// Returns the exit code, or -1 if a signal ended the process.
  int code() const { return Code; }
  auto key() const { return std::tie(Gateway, StopRequested, Ended, Code); }

private:
  int Gateway;
  milliseconds StopRequested;
  milliseconds Ended;
  int Code;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_GATEWAYEXIT_H
