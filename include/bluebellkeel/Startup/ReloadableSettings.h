#ifndef BLUEBELLKEEL_STARTUP_RELOADABLESETTINGS_H
#define BLUEBELLKEEL_STARTUP_RELOADABLESETTINGS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>
#include <vector>

namespace bluebellkeel {

/// The settings that may change while a gateway runs.
struct reloadable_settings : comparable<reloadable_settings> {
  /// Peers to ask while no other is known.
  std::vector<network_address> Seeds;
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
  milliseconds DirectoryTtl{0};

  auto key() const {
    return std::tie(Seeds, RetryRatio, RetrySlack, RetryWindow, TrialShare,
                    SessionLife, Grace, DirectoryTtl);
  }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_RELOADABLESETTINGS_H
