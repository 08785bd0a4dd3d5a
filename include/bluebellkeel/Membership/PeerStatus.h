#ifndef BLUEBELLKEEL_MEMBERSHIP_PEERSTATUS_H
#define BLUEBELLKEEL_MEMBERSHIP_PEERSTATUS_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Membership/Heartbeat.h"
#include <tuple>

namespace bluebellkeel {

/// The last heartbeat of a peer and the time of this instance's request for it.
/// The content of the heartbeat was true at some time after RequestedAt,
/// however long it was in transit.
class peer_status : public comparable<peer_status> {
public:
  peer_status() = default;
  peer_status(monotonic_time RequestedAt, heartbeat Answer)
      : RequestedAt(RequestedAt), Answer(std::move(Answer)) {}

  monotonic_time requestedAt() const { return RequestedAt; }
  const heartbeat &answer() const { return Answer; }
  auto key() const { return std::tie(RequestedAt, Answer); }

private:
  monotonic_time RequestedAt;
  heartbeat Answer;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_PEERSTATUS_H
