#ifndef BLUEBELLKEEL_RELAY_ATTEMPTTIMEOUTS_H
#define BLUEBELLKEEL_RELAY_ATTEMPTTIMEOUTS_H

#include "bluebellkeel/Routing/ForwardRoute.h"

namespace bluebellkeel {

/// How long an upstream may be silent before its request is retried elsewhere.
class attempt_timeouts : public comparable<attempt_timeouts> {
public:
  /// \param TimeLeft time until the final response is due.
  /// \param MoreRuns true if the request may run again elsewhere; otherwise
  /// giving up early gains nothing.
  attempt_timeouts(const forward_route &Route, milliseconds TimeLeft,
                   bool MoreRuns);

  /// Limit on the time until the response head.
  milliseconds firstByte() const { return FirstByte; }
  /// Limit on the time between two pieces of the response.
  milliseconds idle() const { return Idle; }
  auto key() const { return std::tie(FirstByte, Idle); }

private:
  milliseconds FirstByte;
  milliseconds Idle;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_ATTEMPTTIMEOUTS_H
