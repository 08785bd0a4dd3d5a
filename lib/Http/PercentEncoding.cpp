#include "bluebellkeel/Http/PercentEncoding.h"
#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_format.h"

using namespace bluebellkeel;

static bool isUnreserved(char Char) {
  return absl::ascii_isalnum(static_cast<unsigned char>(Char)) || Char == '-' ||
         Char == '.' || Char == '_' || Char == '~';
}

static bool isHexDigit(char Char) {
  return absl::ascii_isxdigit(static_cast<unsigned char>(Char));
}

std::string bluebellkeel::percentEncode(std::string_view Text) {
  std::string Encoded;
  for (char Char : Text) {
    if (isUnreserved(Char))
      Encoded.push_back(Char);
    else
      absl::StrAppendFormat(&Encoded, "%%%02X",
                            static_cast<unsigned char>(Char));
  }
  return Encoded;
}

std::string bluebellkeel::percentDecode(std::string_view Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    bool Escape = Text[I] == '%' && I + 2 < Text.size() &&
                  isHexDigit(Text[I + 1]) && isHexDigit(Text[I + 2]);
    if (!Escape) {
      Decoded.push_back(Text[I] == '+' ? ' ' : Text[I]);
      continue;
    }
    Decoded +=
        absl::HexStringToBytes(absl::string_view(Text.data() + I + 1, 2));
    I += 2;
  }
  return Decoded;
}
