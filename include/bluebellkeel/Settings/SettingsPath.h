#ifndef BLUEBELLKEEL_SETTINGS_SETTINGSPATH_H
#define BLUEBELLKEEL_SETTINGS_SETTINGSPATH_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/TeamId.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellkeel {

/// The path of a setting, such as `/catalog/accounts/cobbler/versions`. The
/// first segment is the team that owns the subtree.
class settings_path : public comparable<settings_path> {
public:
  settings_path() = default;

  /// Parses a path. Returns std::nullopt unless \p Text starts with `/` and has
  /// 1 to 8 segments of 1 to 64 characters from `a-z 0-9 @ . _ -`.
  static std::optional<settings_path> parse(std::string_view Text);

  const std::vector<std::string> &segments() const { return Segments; }
  team_id team() const;
  std::string text() const;

  /// Returns true if this path is \p Prefix or lies below it.
  bool startsWith(const settings_path &Prefix) const;

  const std::vector<std::string> &key() const { return Segments; }

private:
  std::vector<std::string> Segments;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGSPATH_H
