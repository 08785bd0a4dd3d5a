#ifndef BLUEBELLKEEL_POLICY_SESSIONCODEC_H
#define BLUEBELLKEEL_POLICY_SESSIONCODEC_H

#include "bluebellkeel/Core/Signer.h"
#include "bluebellkeel/Policy/Session.h"
#include <optional>
#include <string>

namespace bluebellkeel {

/// Writes sessions into tokens that callers bring back, so that any instance
/// keeps a session's version and none keeps state for it.
class session_codec {
public:
  explicit session_codec(const signer &Signer) : Signer(Signer) {}

  std::string encode(const session &Session) const;
  /// The session in \p Text; empty when it was forged, altered or cut.
  std::optional<session> decode(const std::string &Text) const;

private:
  const signer &Signer;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_SESSIONCODEC_H
