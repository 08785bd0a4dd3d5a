#include "bluebellkeel/Http/HttpRequest.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_split.h"

using namespace bluebellkeel;

static std::string percentDecode(absl::string_view Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    bool Escape = Text[I] == '%' && I + 2 < Text.size() &&
                  absl::ascii_isxdigit(Text[I + 1]) &&
                  absl::ascii_isxdigit(Text[I + 2]);
    if (!Escape) {
      Decoded.push_back(Text[I] == '+' ? ' ' : Text[I]);
      continue;
    }
    Decoded += absl::HexStringToBytes(Text.substr(I + 1, 2));
    I += 2;
  }
  return Decoded;
}

std::string http_request::query(std::string_view Name) const {
  auto QueryStart = Target.find('?');
  if (QueryStart == std::string::npos)
    return "";
  absl::string_view Parameters =
      absl::string_view(Target).substr(QueryStart + 1);
  for (absl::string_view Parameter : absl::StrSplit(Parameters, '&')) {
    std::pair<absl::string_view, absl::string_view> Parts =
        absl::StrSplit(Parameter, absl::MaxSplits('=', 1));
    if (Parts.first == absl::string_view(Name.data(), Name.size()))
      return percentDecode(Parts.second);
  }
  return "";
}
