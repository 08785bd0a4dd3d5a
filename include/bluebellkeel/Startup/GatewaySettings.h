#ifndef BLUEBELLKEEL_STARTUP_GATEWAYSETTINGS_H
#define BLUEBELLKEEL_STARTUP_GATEWAYSETTINGS_H

#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Startup/DutySettings.h"
#include "bluebellkeel/Startup/ReloadableSettings.h"
#include <optional>
#include <string>
#include <vector>

namespace bluebellkeel {

/// The settings of a gateway process. Plain data that the reader fills in;
/// constant from then on.
struct gateway_settings {
  instance_id Instance;
  data_centre_id DataCentre;

  network_address CallerAddress;
  network_address ReadyAddress;
  network_address DirectoryAddress;
  network_address PeerAddress;
  network_address MetricsAddress;
  network_address LogAddress;
  std::string PeerKey;
  std::string LogLevel;
  /// Memory available to the process, in bytes.
  std::size_t Memory = 0;

  /// Empty if the deployment has no duties.
  std::optional<duty_settings> Duties;

  reloadable_settings Reloadable;

  /// Returns the settings that need a restart to change. Leaves out the
  /// reloadable settings and the log level.
  auto fixedKey() const {
    return std::tie(Instance, DataCentre, CallerAddress, ReadyAddress,
                    DirectoryAddress, PeerAddress, MetricsAddress, LogAddress,
                    PeerKey, Memory, Duties);
  }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_GATEWAYSETTINGS_H
