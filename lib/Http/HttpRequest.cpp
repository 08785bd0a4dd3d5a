#include "bluebellkeel/Http/HttpRequest.h"
#include "absl/strings/str_split.h"
#include "bluebellkeel/Http/PercentEncoding.h"

using namespace bluebellkeel;

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
      return percentDecode(
          std::string_view(Parts.second.data(), Parts.second.size()));
  }
  return "";
}
