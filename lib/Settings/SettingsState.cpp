#include "bluebellkeel/Settings/SettingsState.h"

using namespace bluebellkeel;

subtree_revision settings_state::revisionOf(const team_id &Team) const {
  auto Found = Revisions.find(Team);
  return Found == Revisions.end() ? subtree_revision() : Found->second;
}

const setting_value *settings_state::find(const settings_path &Path) const {
  auto Found = Values.find(Path);
  return Found == Values.end() ? nullptr : &Found->second;
}

settings_state settings_state::withApplied(log_offset Offset) const {
  return settings_state(Offset, Values, Revisions);
}
