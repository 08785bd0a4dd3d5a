#ifndef BLUEBELLKEEL_STARTUP_GATEWAYSETTINGS_H
#define BLUEBELLKEEL_STARTUP_GATEWAYSETTINGS_H

#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/Time.h"
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
  /// Peers to ask while no other is known.
  std::vector<network_address> Seeds;
  network_address LogAddress;
  std::string PeerKey;
  std::string LogLevel;
  /// Memory that the machine gives the process, in bytes.
  std::size_t Memory = 0;

  /// Repeats for each request, beyond that, and the window they count in; for
  /// all instances together.
  double RetryRatio = 0;
  double RetrySlack = 0;
  milliseconds RetryWindow{0};
  /// Share of the requests that a bad version may get.
  double TrialShare = 0;
  /// Requests of one session come at least this often.
  milliseconds SessionLife{0};
  /// Time from the order to stop until the process is killed.
  milliseconds Grace{0};
  /// Longest time for which callers may keep an answer of the directory.
  milliseconds AdviceLife{0};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_GATEWAYSETTINGS_H
