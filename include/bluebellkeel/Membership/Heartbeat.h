#ifndef BLUEBELLKEEL_MEMBERSHIP_HEARTBEAT_H
#define BLUEBELLKEEL_MEMBERSHIP_HEARTBEAT_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/LogOffset.h"
#include "bluebellkeel/Core/Time.h"
#include <cstdint>
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// The state that an instance reports to a peer on request.
class heartbeat : public comparable<heartbeat> {
public:
  heartbeat() = default;
  heartbeat(instance_id From, std::uint64_t Incarnation, bool Serving,
            log_offset SettingsApplied, std::optional<milliseconds> LogAge)
      : From(std::move(From)), Incarnation(Incarnation), Serving(Serving),
        SettingsApplied(SettingsApplied), LogAge(LogAge) {}

  const instance_id &from() const { return From; }
  /// A number drawn anew at each start of the process.
  std::uint64_t incarnation() const { return Incarnation; }
  /// False while the instance drains or refuses new work.
  bool serving() const { return Serving; }
  log_offset settingsApplied() const { return SettingsApplied; }
  /// How long ago settingsApplied() was last known to be the newest offset of
  /// the log; empty when it never was.
  std::optional<milliseconds> logAge() const { return LogAge; }
  auto key() const {
    return std::tie(From, Incarnation, Serving, SettingsApplied, LogAge);
  }

private:
  instance_id From;
  std::uint64_t Incarnation = 0;
  bool Serving = false;
  log_offset SettingsApplied;
  std::optional<milliseconds> LogAge;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_HEARTBEAT_H
