#ifndef BLUEBELLKEEL_MEMBERSHIP_SETTINGSPOSITION_H
#define BLUEBELLKEEL_MEMBERSHIP_SETTINGSPOSITION_H

#include "bluebellkeel/Core/LogOffset.h"
#include "bluebellkeel/Core/Time.h"
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// An instance's position in the settings stream, from its own reads.
class settings_position : public comparable<settings_position> {
public:
  settings_position() = default;
  settings_position(log_offset Applied, std::optional<monotonic_time> CaughtUp)
      : Applied(Applied), CaughtUp(CaughtUp) {}

  log_offset applied() const { return Applied; }
  /// When Applied was last seen to be the newest offset of the log; empty if
  /// never.
  std::optional<monotonic_time> caughtUp() const { return CaughtUp; }
  auto key() const { return std::tie(Applied, CaughtUp); }

private:
  log_offset Applied;
  std::optional<monotonic_time> CaughtUp;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_SETTINGSPOSITION_H
