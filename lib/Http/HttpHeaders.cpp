#include "bluebellkeel/Http/HttpHeaders.h"
#include "absl/strings/match.h"

using namespace bluebellkeel;

std::string http_headers::get(std::string_view Name) const {
  absl::string_view Wanted(Name.data(), Name.size());
  for (const auto &[FieldName, Value] : Fields) {
    if (absl::EqualsIgnoreCase(FieldName, Wanted))
      return Value;
  }
  return "";
}

http_headers http_headers::with(std::string Name, std::string Value) const {
  http_headers Copy = *this;
  Copy.Fields.emplace_back(std::move(Name), std::move(Value));
  return Copy;
}
