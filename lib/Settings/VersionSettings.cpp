#include "bluebellkeel/Settings/VersionSettings.h"

using namespace bluebellkeel;

version_settings version_settings::withStage(version_stage NewStage) const {
  version_settings Copy = *this;
  Copy.Stage = NewStage;
  return Copy;
}

version_settings version_settings::withCost(double NewCost) const {
  version_settings Copy = *this;
  Copy.Cost = NewCost;
  return Copy;
}

version_settings version_settings::withQuality(double NewQuality) const {
  version_settings Copy = *this;
  Copy.Quality = NewQuality;
  return Copy;
}

version_settings version_settings::withShare(double NewShare) const {
  version_settings Copy = *this;
  Copy.Share = NewShare;
  return Copy;
}
