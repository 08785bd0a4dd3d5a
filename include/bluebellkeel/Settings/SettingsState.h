#ifndef BLUEBELLKEEL_SETTINGS_SETTINGSSTATE_H
#define BLUEBELLKEEL_SETTINGS_SETTINGSSTATE_H

#include "bluebellkeel/Core/LogOffset.h"
#include "bluebellkeel/Settings/SettingValue.h"
#include "bluebellkeel/Settings/SettingsPath.h"
#include "bluebellkeel/Settings/SubtreeRevision.h"
#include <map>
#include <tuple>

namespace bluebellkeel {

/// All settings after applying the log up to one offset.
class settings_state : public comparable<settings_state> {
public:
  using value_map = std::map<settings_path, setting_value>;
  using revision_map = std::map<team_id, subtree_revision>;

  settings_state() = default;
  settings_state(log_offset Applied, value_map Values, revision_map Revisions)
      : Applied(Applied), Values(std::move(Values)),
        Revisions(std::move(Revisions)) {}

  /// Returns the offset of the last log record applied to this state.
  log_offset applied() const { return Applied; }
  const value_map &values() const { return Values; }
  const revision_map &revisions() const { return Revisions; }

  /// Returns the last accepted change of \p Team, with offset 0 if there is
  /// none.
  subtree_revision revisionOf(const team_id &Team) const;

  /// Returns the value at \p Path, or null if it is not set.
  const setting_value *find(const settings_path &Path) const;

  settings_state withApplied(log_offset Offset) const;

  auto key() const { return std::tie(Applied, Values, Revisions); }

private:
  log_offset Applied;
  value_map Values;
  revision_map Revisions;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGSSTATE_H
