#ifndef BLUEBELLKEEL_SETTINGS_VERSIONSTAGE_H
#define BLUEBELLKEEL_SETTINGS_VERSIONSTAGE_H

#include <optional>
#include <string_view>

namespace bluebellkeel {

/// The stage of a model version in its roll-out.
enum class version_stage {
  /// Gets a bounded share of new work during the roll-out.
  Rolling,
  /// Gets new work without a bound on its share.
  Active,
  /// Gets no new work but keeps its sessions, until an operator decides.
  Held,
  /// Gets no new work at all.
  Withdrawn,
};

std::string_view toString(version_stage Stage);
std::optional<version_stage> parseVersionStage(std::string_view Text);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_VERSIONSTAGE_H
