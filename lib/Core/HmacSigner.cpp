#include "bluebellkeel/Core/HmacSigner.h"
#include "absl/strings/escaping.h"
#include <array>
#include <openssl/evp.h>
#include <openssl/hmac.h>

using namespace bluebellkeel;

std::string hmac_signer::sign(std::string_view Text) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest = {};
  unsigned int Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest.data(), &Size);
  std::string_view Bytes(reinterpret_cast<const char *>(Digest.data()), Size);
  return absl::BytesToHexString(absl::string_view(Bytes.data(), Bytes.size()));
}
