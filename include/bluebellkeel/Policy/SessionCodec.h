#ifndef BLUEBELLKEEL_POLICY_SESSIONCODEC_H
#define BLUEBELLKEEL_POLICY_SESSIONCODEC_H

#include "bluebellkeel/Core/Signer.h"
#include "bluebellkeel/Policy/Session.h"
#include <optional>
#include <string>

namespace bluebellkeel {

/// Encodes sessions as signed tokens that callers send back, so that any
/// instance continues a session on its version without stored state.
class session_codec {
public:
  explicit session_codec(const signer &Signer) : Signer(Signer) {}

  std::string encode(const session &Session) const;
  /// Returns the session in \p Text; empty if it was forged, altered or
  /// truncated.
  std::optional<session> decode(const std::string &Text) const;

private:
  const signer &Signer;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_SESSIONCODEC_H
