#include "bluebellkeel/Core/Signer.h"
#include <openssl/crypto.h>

using namespace bluebellkeel;

bool signer::verify(std::string_view Text, std::string_view Signature) const {
  std::string Expected = sign(Text);
  if (Expected.size() != Signature.size())
    return false;
  return CRYPTO_memcmp(Expected.data(), Signature.data(), Expected.size()) == 0;
}
