#include "bluebellkeel/Relay/ForwardLimit.h"
#include <algorithm>

using namespace bluebellkeel;

monotonic_time forward_limit::at() const {
  auto StopsAt = ServingStatus.stopsAt();
  return StopsAt ? std::min(*StopsAt, withoutStop()) : withoutStop();
}

monotonic_time forward_limit::withoutStop() const {
  milliseconds Wait = std::min(MaxWait, Call.deadline().value_or(MaxWait));
  auto Table = Tables.current();
  const forward_route *Route =
      Table ? Table->match(Call.host(), Call.path()) : nullptr;
  if (Route && Route->timeout().count() > 0)
    Wait = std::min(Wait, Route->timeout());
  return Call.arrived() + Wait;
}
