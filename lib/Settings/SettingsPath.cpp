#include "bluebellkeel/Settings/SettingsPath.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include <algorithm>

using namespace bluebellkeel;

static constexpr std::size_t MaxSegments = 8;
static constexpr std::size_t MaxSegmentBytes = 64;

static bool isSegmentChar(char C) {
  if (C >= 'a' && C <= 'z')
    return true;
  if (C >= '0' && C <= '9')
    return true;
  return C == '@' || C == '.' || C == '_' || C == '-';
}

static bool isSegment(const std::string &Text) {
  if (Text.empty() || Text.size() > MaxSegmentBytes)
    return false;
  return std::all_of(Text.begin(), Text.end(), isSegmentChar);
}

std::optional<settings_path> settings_path::parse(std::string_view Text) {
  if (Text.empty() || Text.front() != '/')
    return std::nullopt;
  settings_path Path;
  Path.Segments =
      absl::StrSplit(absl::string_view(Text.data() + 1, Text.size() - 1), '/');
  if (Path.Segments.size() > MaxSegments)
    return std::nullopt;
  if (!std::all_of(Path.Segments.begin(), Path.Segments.end(), isSegment))
    return std::nullopt;
  return Path;
}

team_id settings_path::team() const {
  return Segments.empty() ? team_id() : team_id(Segments.front());
}

std::string settings_path::text() const {
  return "/" + absl::StrJoin(Segments, "/");
}

bool settings_path::startsWith(const settings_path &Prefix) const {
  if (Prefix.Segments.size() > Segments.size())
    return false;
  return std::equal(Prefix.Segments.begin(), Prefix.Segments.end(),
                    Segments.begin());
}
