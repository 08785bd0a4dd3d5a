#ifndef BLUEBELLKEEL_POLICY_ROLLOUTSTATUS_H
#define BLUEBELLKEEL_POLICY_ROLLOUTSTATUS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/VersionId.h"
#include "bluebellkeel/Policy/RollOutStage.h"
#include <tuple>

namespace bluebellkeel {

/// The stage of a roll-out as published to the operators.
class roll_out_status : public comparable<roll_out_status> {
public:
  roll_out_status(service_id Service, version_id Target, roll_out_stage Stage)
      : Service(std::move(Service)), Target(std::move(Target)), Stage(Stage) {}

  const service_id &service() const { return Service; }
  const version_id &target() const { return Target; }
  roll_out_stage stage() const { return Stage; }
  auto key() const { return std::tie(Service, Target, Stage); }

private:
  service_id Service;
  version_id Target;
  roll_out_stage Stage;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTSTATUS_H
