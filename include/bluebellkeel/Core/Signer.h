#ifndef BLUEBELLKEEL_CORE_SIGNER_H
#define BLUEBELLKEEL_CORE_SIGNER_H

#include <string>
#include <string_view>

namespace bluebellkeel {

/// Creates and verifies signatures, which prove that a text that a caller
/// returns was issued by this system and is unmodified.
class signer {
public:
  virtual ~signer() = default;

  /// Returns the signature of \p Text in hexadecimal digits.
  virtual std::string sign(std::string_view Text) const = 0;

  /// Returns true if \p Signature is the signature of \p Text. Compares in
  /// constant time.
  bool verify(std::string_view Text, std::string_view Signature) const;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_SIGNER_H
