#ifndef BLUEBELLKEEL_STARTUP_STARTUPSETTINGS_H
#define BLUEBELLKEEL_STARTUP_STARTUPSETTINGS_H

#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Startup/PlatformAddresses.h"
#include "bluebellkeel/Startup/StartupLimits.h"
#include "bluebellkeel/Startup/TeamKey.h"
#include <vector>

namespace bluebellkeel {

/// The settings of a process, from its settings file. Plain data that the
/// reader fills in; constant from then on.
struct startup_settings {
  instance_id Instance;
  data_centre_id DataCentre;
  network_address CallerAddress;
  network_address PeerAddress;
  platform_addresses Platform;
  /// Key that signs tickets and sessions; the same on all instances.
  std::string SigningKey;
  /// Key that signs messages between instances.
  std::string PeerKey;
  std::vector<team_key> Teams;
  startup_limits Limits;
  /// True if an instance that reaches no majority of its peers keeps serving
  /// with its last settings.
  bool ContinueWhenCutOff = false;
  std::string LogLevel = "info";
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_STARTUPSETTINGS_H
