#ifndef BLUEBELLKEEL_STARTUP_RELOADABLESETTINGS_H
#define BLUEBELLKEEL_STARTUP_RELOADABLESETTINGS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>
#include <vector>

namespace bluebellkeel {

/// The settings that may change while a gateway is running.
struct reloadable_settings : comparable<reloadable_settings> {
  /// Peers to contact while no other peer is known.
  std::vector<network_address> Seeds;
  /// Retries allowed per request, retries allowed in addition, and the window
  /// in which both are counted; for all instances together.
  double RetryRatio = 0;
  double RetrySlack = 0;
  milliseconds RetryWindow{0};
  /// Largest share of the requests that a faulty version may get, from 0 to 1.
  double TrialShare = 0;
  /// Time from the stop signal until the platform kills the process.
  milliseconds Grace{0};
  /// Time within which an acknowledged change of the settings, and of the
  /// registered upstreams, must take effect.
  milliseconds SettingsApplyTime{2000};
  milliseconds UpstreamsApplyTime{2000};
  /// Interval at which upstreams renew their registrations.
  milliseconds UpstreamsRenewInterval{1200};
  /// Longest time for which callers may cache a response of the directory.
  milliseconds DirectoryTtl{0};

  auto key() const {
    return std::tie(Seeds, RetryRatio, RetrySlack, RetryWindow, TrialShare,
                    Grace, SettingsApplyTime, UpstreamsApplyTime,
                    UpstreamsRenewInterval, DirectoryTtl);
  }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_RELOADABLESETTINGS_H
