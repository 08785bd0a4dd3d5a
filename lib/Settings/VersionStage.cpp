#include "bluebellkeel/Settings/VersionStage.h"

using namespace bluebellkeel;

std::string_view bluebellkeel::toString(version_stage Stage) {
  switch (Stage) {
  case version_stage::Rolling:
    return "rolling";
  case version_stage::Active:
    return "active";
  case version_stage::Held:
    return "held";
  case version_stage::Withdrawn:
    return "withdrawn";
  }
  return "";
}

std::optional<version_stage>
bluebellkeel::parseVersionStage(std::string_view Text) {
  for (auto Stage : {version_stage::Rolling, version_stage::Active,
                     version_stage::Held, version_stage::Withdrawn}) {
    if (toString(Stage) == Text)
      return Stage;
  }
  return std::nullopt;
}
