#include "bluebellkeel/Settings/AccountSettings.h"

using namespace bluebellkeel;

account_settings account_settings::withApiKey(std::string NewKey) const {
  account_settings Copy = *this;
  Copy.ApiKey = std::move(NewKey);
  return Copy;
}

account_settings
account_settings::withVersions(std::set<version_id> NewVersions) const {
  account_settings Copy = *this;
  Copy.Versions = std::move(NewVersions);
  return Copy;
}

account_settings
account_settings::withServices(std::set<service_id> NewServices) const {
  account_settings Copy = *this;
  Copy.Services = std::move(NewServices);
  return Copy;
}

account_settings account_settings::withQualityTarget(double NewTarget) const {
  account_settings Copy = *this;
  Copy.QualityTarget = NewTarget;
  return Copy;
}
