#ifndef BLUEBELLKEEL_POLICY_ROLLOUTORDER_H
#define BLUEBELLKEEL_POLICY_ROLLOUTORDER_H

#include "bluebellkeel/Core/LogOffset.h"
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
                 log_offset Offset)
      : Service(std::move(Service)), Target(std::move(Target)),
        Duration(Duration), Offset(Offset) {}

  const service_id &service() const { return Service; }
  const version_id &target() const { return Target; }
  /// Time until all requests go to the target.
  milliseconds duration() const { return Duration; }
  /// Offset of the order in the log; an order with a higher offset replaces one
  /// with a lower.
  log_offset offset() const { return Offset; }
  auto key() const { return std::tie(Service, Target, Duration, Offset); }

private:
  service_id Service;
  version_id Target;
  milliseconds Duration{0};
  log_offset Offset;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTORDER_H
