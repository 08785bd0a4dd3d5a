#ifndef BLUEBELLKEEL_POLICY_ROLLOUTORDER_H
#define BLUEBELLKEEL_POLICY_ROLLOUTORDER_H

#include "bluebellkeel/Core/LogPosition.h"
#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Core/VersionId.h"
#include <tuple>

namespace bluebellkeel {

/// The operators' order to move a service to a version.
class roll_out_order : public comparable<roll_out_order> {
public:
  roll_out_order() = default;
  roll_out_order(service_id Service, version_id Target, milliseconds Duration,
                 log_position Position)
      : Service(std::move(Service)), Target(std::move(Target)),
        Duration(Duration), Position(Position) {}

  const service_id &service() const { return Service; }
  const version_id &target() const { return Target; }
  /// Time until all requests go to the target.
  milliseconds duration() const { return Duration; }
  /// Position of the order in the log; a later order replaces an earlier one.
  const log_position &position() const { return Position; }
  /// True if \p Other is this order, perhaps written again after the log was
  /// restored from a copy.
  bool isSameAs(const roll_out_order &Other) const {
    bool SameContent = std::tie(Service, Target, Duration) ==
                       std::tie(Other.Service, Other.Target, Other.Duration);
    return SameContent && (Position == Other.Position ||
                           Position.era() != Other.Position.era());
  }
  auto key() const { return std::tie(Service, Target, Duration, Position); }

private:
  service_id Service;
  version_id Target;
  milliseconds Duration{0};
  log_position Position;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTORDER_H
