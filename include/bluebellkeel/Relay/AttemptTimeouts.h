#ifndef BLUEBELLKEEL_RELAY_ATTEMPTTIMEOUTS_H
#define BLUEBELLKEEL_RELAY_ATTEMPTTIMEOUTS_H

#include "bluebellkeel/Routing/ForwardRoute.h"

namespace bluebellkeel {

/// How long an upstream may be silent before its request goes elsewhere.
class attempt_timeouts : public comparable<attempt_timeouts> {
public:
  /// \param TimeLeft until the final answer is due.
  /// \param MoreRuns true when the request could run again elsewhere; else
  /// there is nothing to gain by giving up early.
  attempt_timeouts(const forward_route &Route, milliseconds TimeLeft,
                   bool MoreRuns);

  /// Time until the head of the answer.
  milliseconds firstByte() const { return FirstByte; }
  /// Time between two pieces of the answer.
  milliseconds idle() const { return Idle; }
  auto key() const { return std::tie(FirstByte, Idle); }

private:
  milliseconds FirstByte;
  milliseconds Idle;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_ATTEMPTTIMEOUTS_H
