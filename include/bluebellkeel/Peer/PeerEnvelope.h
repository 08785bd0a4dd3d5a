#ifndef BLUEBELLKEEL_PEER_PEERENVELOPE_H
#define BLUEBELLKEEL_PEER_PEERENVELOPE_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Peer/PeerBody.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// A message between instances with its sender and recipient. An answer has the
/// same number as its query.
class peer_envelope : public comparable<peer_envelope> {
public:
  peer_envelope() = default;
  peer_envelope(instance_id From, instance_id To, std::uint64_t Number,
                wall_time SentAt, peer_body Body)
      : From(std::move(From)), To(std::move(To)), Number(Number),
        SentAt(SentAt), Body(std::move(Body)) {}

  const instance_id &from() const { return From; }
  /// Returns the recipient; empty if only its address is known to the sender.
  const instance_id &to() const { return To; }
  std::uint64_t number() const { return Number; }
  /// Returns the time of sending; the encoding keeps milliseconds.
  wall_time sentAt() const { return SentAt; }
  const peer_body &body() const { return Body; }
  auto key() const { return std::tie(From, To, Number, SentAt, Body); }

private:
  instance_id From;
  instance_id To;
  std::uint64_t Number = 0;
  wall_time SentAt;
  peer_body Body;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_PEERENVELOPE_H
