#ifndef BLUEBELLKEEL_SETTINGS_VERSIONSETTINGS_H
#define BLUEBELLKEEL_SETTINGS_VERSIONSETTINGS_H

#include "bluebellkeel/Core/VersionId.h"
#include "bluebellkeel/Settings/VersionStage.h"
#include <tuple>

namespace bluebellkeel {

/// The settings of one model version.
class version_settings : public comparable<version_settings> {
public:
  version_settings() = default;
  explicit version_settings(version_id Id) : Id(std::move(Id)) {}

  const version_id &id() const { return Id; }
  version_stage stage() const { return Stage; }
  /// Returns the price of 1,000 tokens, in millionths of the currency unit.
  double cost() const { return Cost; }
  /// Returns the share of good answers, from 0 to 1, that is expected before
  /// ratings arrive.
  double quality() const { return Quality; }
  /// Returns the largest share of new work, from 0 to 1, that the version gets
  /// while its stage is Rolling.
  double share() const { return Share; }

  version_settings withStage(version_stage NewStage) const;
  version_settings withCost(double NewCost) const;
  version_settings withQuality(double NewQuality) const;
  version_settings withShare(double NewShare) const;

  auto key() const { return std::tie(Id, Stage, Cost, Quality, Share); }

private:
  version_id Id;
  version_stage Stage = version_stage::Held;
  double Cost = 0;
  double Quality = 0;
  double Share = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_VERSIONSETTINGS_H
