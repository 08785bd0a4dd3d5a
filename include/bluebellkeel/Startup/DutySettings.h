#ifndef BLUEBELLKEEL_STARTUP_DUTYSETTINGS_H
#define BLUEBELLKEEL_STARTUP_DUTYSETTINGS_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// The settings of the duties that one instance does for all at a time.
struct duty_settings : comparable<duty_settings> {
  /// Where the platform takes the calls.
  network_address Address;
  /// Time within which a duty must not go to another instance and back.
  milliseconds Lease{0};
  /// Length of the windows whose usage is reported, and the time after the end
  /// of each by which the report is due.
  milliseconds UsageWindow{0};
  milliseconds UsageDelay{0};

  auto key() const { return std::tie(Address, Lease, UsageWindow, UsageDelay); }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_DUTYSETTINGS_H
