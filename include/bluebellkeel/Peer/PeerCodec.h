#ifndef BLUEBELLKEEL_PEER_PEERCODEC_H
#define BLUEBELLKEEL_PEER_PEERCODEC_H

#include "bluebellkeel/Core/Signer.h"
#include "bluebellkeel/Peer/PeerEnvelope.h"
#include "bluebellkeel/Peer/PeerError.h"
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Writes messages between instances as signed CBOR, and reads them back.
class peer_codec {
public:
  /// Largest message that is read, in bytes.
  static constexpr std::size_t MaxBytes = 8UL * 1024 * 1024;
  /// A message signed longer ago is dropped.
  static constexpr seconds MaxAge{60};

  explicit peer_codec(const signer &Signer) : Signer(Signer) {}

  std::string encode(const peer_envelope &Envelope) const;

  /// The message in \p Bytes if it is signed, for \p Self, and recent at
  /// \p Now.
  tl::expected<peer_envelope, peer_error>
  decode(std::string_view Bytes, const instance_id &Self, wall_time Now) const;

private:
  const signer &Signer;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_PEERCODEC_H
