#ifndef BLUEBELLKEEL_SETTINGS_ACCOUNTSETTINGS_H
#define BLUEBELLKEEL_SETTINGS_ACCOUNTSETTINGS_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/VersionId.h"
#include <set>
#include <tuple>

namespace bluebellkeel {

/// The settings of one client account.
class account_settings : public comparable<account_settings> {
public:
  account_settings() = default;
  explicit account_settings(account_id Id) : Id(std::move(Id)) {}

  const account_id &id() const { return Id; }
  const std::string &apiKey() const { return ApiKey; }
  const std::set<version_id> &versions() const { return Versions; }
  const std::set<service_id> &services() const { return Services; }
  /// Returns the share of good answers that the client account requires, from 0
  /// to 1.
  double qualityTarget() const { return QualityTarget; }

  account_settings withApiKey(std::string NewKey) const;
  account_settings withVersions(std::set<version_id> NewVersions) const;
  account_settings withServices(std::set<service_id> NewServices) const;
  account_settings withQualityTarget(double NewTarget) const;

  auto key() const {
    return std::tie(Id, ApiKey, Versions, Services, QualityTarget);
  }

private:
  account_id Id;
  std::string ApiKey;
  std::set<version_id> Versions;
  std::set<service_id> Services;
  double QualityTarget = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_ACCOUNTSETTINGS_H
