#ifndef BLUEBELLKEEL_RELAY_SERVINGSTATUS_H
#define BLUEBELLKEEL_RELAY_SERVINGSTATUS_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Membership/ServingPhase.h"
#include <optional>

namespace bluebellkeel {

/// Whether this instance accepts requests, and how old its configuration may
/// be.
class serving_status {
public:
  virtual ~serving_status() = default;

  virtual serving_phase phase() const = 0;
  /// Time by which every response must be complete since this instance stops;
  /// empty while it does not.
  virtual std::optional<monotonic_time> stopsAt() const = 0;
  /// Time since the configuration was last known to be the newest.
  virtual milliseconds settingsAge() const = 0;
  /// True if the configuration may lack a change that must be in force by now.
  virtual bool settingsStale() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_SERVINGSTATUS_H
