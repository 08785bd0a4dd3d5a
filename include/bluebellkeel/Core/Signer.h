#ifndef BLUEBELLKEEL_CORE_SIGNER_H
#define BLUEBELLKEEL_CORE_SIGNER_H

#include <string>
#include <string_view>

namespace bluebellkeel {

/// Makes and checks signatures, so that what a caller brings back is known to
/// be ours and unaltered.
class signer {
public:
  virtual ~signer() = default;

  /// The signature of \p Text in hexadecimal digits.
  virtual std::string sign(std::string_view Text) const = 0;

  /// True when \p Signature is that of \p Text; takes equal time either way.
  bool verify(std::string_view Text, std::string_view Signature) const;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_SIGNER_H
