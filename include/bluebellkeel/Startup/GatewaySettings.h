#ifndef BLUEBELLKEEL_STARTUP_GATEWAYSETTINGS_H
#define BLUEBELLKEEL_STARTUP_GATEWAYSETTINGS_H

#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Startup/ReloadableSettings.h"
#include <string>
#include <vector>

namespace bluebellkeel {

/// What a gateway process knows from its settings file. Plain data that the
/// reader fills in; used as a constant from then on.
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
  /// Memory that the machine gives the process, in bytes.
  std::size_t Memory = 0;

  reloadable_settings Reloadable;

  /// All but the rules and the log's level, which take a restart to change.
  auto fixedKey() const {
    return std::tie(Instance, DataCentre, CallerAddress, ReadyAddress,
                    DirectoryAddress, PeerAddress, MetricsAddress, LogAddress,
                    PeerKey, Memory);
  }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_GATEWAYSETTINGS_H
