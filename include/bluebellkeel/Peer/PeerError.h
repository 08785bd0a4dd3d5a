#ifndef BLUEBELLKEEL_PEER_PEERERROR_H
#define BLUEBELLKEEL_PEER_PEERERROR_H

#include <string_view>

namespace bluebellkeel {

/// The reason for dropping a message from a peer. A dropped message changes no
/// state.
enum class peer_error {
  Malformed,
  BadSignature,
  /// Sent too far from the current time, or addressed to another instance.
  Stale,
  TooLarge,
};

inline std::string_view toString(peer_error Error) {
  switch (Error) {
  case peer_error::Malformed:
    return "malformed";
  case peer_error::BadSignature:
    return "bad_signature";
  case peer_error::Stale:
    return "stale";
  case peer_error::TooLarge:
    return "too_large";
  }
  return "";
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_PEERERROR_H
