#ifndef BLUEBELLKEEL_MEMBERSHIP_LIVENESSREPORT_H
#define BLUEBELLKEEL_MEMBERSHIP_LIVENESSREPORT_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Membership/InstanceState.h"
#include <tuple>

namespace bluebellkeel {

/// How long ago an instance was last in contact, and the state that it
/// reported.
class liveness_report : public comparable<liveness_report> {
public:
  liveness_report(instance_id Id, milliseconds Age, instance_state State)
      : Id(std::move(Id)), Age(Age), State(State) {}

  const instance_id &id() const { return Id; }
  milliseconds age() const { return Age; }
  instance_state state() const { return State; }
  auto key() const { return std::tie(Id, Age, State); }

private:
  instance_id Id;
  milliseconds Age;
  instance_state State;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_LIVENESSREPORT_H
