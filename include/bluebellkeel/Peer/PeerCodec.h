#ifndef BLUEBELLKEEL_PEER_PEERCODEC_H
#define BLUEBELLKEEL_PEER_PEERCODEC_H

#include "bluebellkeel/Core/Signer.h"
#include "bluebellkeel/Peer/PeerEnvelope.h"
#include "bluebellkeel/Peer/PeerError.h"
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Encodes messages between instances as signed CBOR and decodes them.
class peer_codec {
public:
  /// Maximum size of a message that decode() accepts, in bytes.
  static constexpr std::size_t MaxBytes = 8UL * 1024 * 1024;
  /// Maximum difference between the time of sending and the current time, in
  /// either direction; a message beyond it is rejected.
  static constexpr seconds MaxAge{60};

  explicit peer_codec(const signer &Signer) : Signer(Signer) {}

  std::string encode(const peer_envelope &Envelope) const;

  /// Returns the message in \p Bytes, or an error unless its signature is
  /// valid, its recipient is \p Self or empty, and it was sent within MaxAge of
  /// \p Now.
  tl::expected<peer_envelope, peer_error>
  decode(std::string_view Bytes, const instance_id &Self, wall_time Now) const;

private:
  const signer &Signer;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_PEERCODEC_H
