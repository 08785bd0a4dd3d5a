#ifndef BLUEBELLKEEL_SETTINGS_ROUTINGSETTINGS_H
#define BLUEBELLKEEL_SETTINGS_ROUTINGSETTINGS_H

#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Settings/AccountSettings.h"
#include "bluebellkeel/Settings/ServiceOperation.h"
#include "bluebellkeel/Settings/SettingsState.h"
#include "bluebellkeel/Settings/VersionSettings.h"
#include <map>
#include <set>
#include <tuple>

namespace bluebellkeel {

/// An immutable index of the settings for routing decisions, built from a
/// settings_state.
class routing_settings : public comparable<routing_settings> {
public:
  routing_settings() = default;
  explicit routing_settings(const settings_state &State);

  log_offset applied() const { return Applied; }
  /// Returns the client account, or null if it is not in the settings.
  const account_settings *account(const account_id &Id) const;
  /// Returns the client account with \p ApiKey, or null if there is none.
  const account_settings *accountByApiKey(const std::string &ApiKey) const;
  /// Returns the version, or null if it is not in the settings.
  const version_settings *version(const version_id &Id) const;
  /// Returns the operation, or null if it is not in the settings.
  const service_operation *operation(const service_id &Service,
                                     const std::string &Name) const;
  bool isOutOfService(const data_centre_id &DataCentre) const;

  const std::map<account_id, account_settings> &accounts() const {
    return Accounts;
  }
  const std::map<version_id, version_settings> &versions() const {
    return Versions;
  }
  const std::set<data_centre_id> &outOfServiceDataCentres() const {
    return OutOfService;
  }

  auto key() const {
    return std::tie(Applied, Accounts, Versions, Operations, OutOfService);
  }

private:
  void readAccount(const settings_path &Path, const setting_value &Value);
  void readVersion(const settings_path &Path, const setting_value &Value);
  void readOperation(const settings_path &Path, const setting_value &Value);
  void readDataCentre(const settings_path &Path, const setting_value &Value);

  log_offset Applied;
  std::map<account_id, account_settings> Accounts;
  std::map<std::string, account_id> AccountsByApiKey;
  std::map<version_id, version_settings> Versions;
  std::map<std::pair<service_id, std::string>, service_operation> Operations;
  std::set<data_centre_id> OutOfService;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_ROUTINGSETTINGS_H
