#ifndef BLUEBELLKEEL_MEMBERSHIP_SENDERGROUP_H
#define BLUEBELLKEEL_MEMBERSHIP_SENDERGROUP_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/InstanceId.h"
#include <tuple>
#include <vector>

namespace bluebellkeel {

/// The instances that share the rate limits of upstreams.
class sender_group : public comparable<sender_group> {
public:
  sender_group(std::vector<instance_id> Instances, bool Complete)
      : Instances(std::move(Instances)), Complete(Complete) {}

  const std::vector<instance_id> &instances() const { return Instances; }
  /// False while this instance, shortly after its start, may not know all of
  /// them yet.
  bool complete() const { return Complete; }
  sender_group with(const instance_id &Instance) const {
    sender_group Group = *this;
    Group.Instances.push_back(Instance);
    return Group;
  }
  auto key() const { return std::tie(Instances, Complete); }

private:
  std::vector<instance_id> Instances;
  bool Complete;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_SENDERGROUP_H
