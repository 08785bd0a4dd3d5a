#ifndef BLUEBELLKEEL_SETTINGS_SETTINGSCHANGE_H
#define BLUEBELLKEEL_SETTINGS_SETTINGSCHANGE_H

#include "bluebellkeel/Core/LogOffset.h"
#include "bluebellkeel/Core/TeamId.h"
#include "bluebellkeel/Settings/SettingEdit.h"
#include <tuple>
#include <vector>

namespace bluebellkeel {

/// A set of edits to the subtree of one team, applied all or nothing.
class settings_change : public comparable<settings_change> {
public:
  settings_change() = default;
  settings_change(std::string Id, team_id Team, log_offset BaseRevision,
                  std::vector<setting_edit> Edits)
      : Id(std::move(Id)), Team(std::move(Team)), BaseRevision(BaseRevision),
        Edits(std::move(Edits)) {}

  /// Returns the id that the client chose. A resend has the same id.
  const std::string &id() const { return Id; }
  /// Returns the team that the front end authenticated.
  const team_id &team() const { return Team; }
  /// Returns the revision of the subtree that the change is based on.
  log_offset baseRevision() const { return BaseRevision; }
  const std::vector<setting_edit> &edits() const { return Edits; }
  auto key() const { return std::tie(Id, Team, BaseRevision, Edits); }

private:
  std::string Id;
  team_id Team;
  log_offset BaseRevision;
  std::vector<setting_edit> Edits;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGSCHANGE_H
