#ifndef BLUEBELLKEEL_CORE_HMACSIGNER_H
#define BLUEBELLKEEL_CORE_HMACSIGNER_H

#include "bluebellkeel/Core/Signer.h"

namespace bluebellkeel {

/// Signs with HMAC-SHA-256 and a key that all instances share.
class hmac_signer final : public signer {
public:
  explicit hmac_signer(std::string Key) : Key(std::move(Key)) {}

  std::string sign(std::string_view Text) const override;

private:
  std::string Key;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_HMACSIGNER_H
