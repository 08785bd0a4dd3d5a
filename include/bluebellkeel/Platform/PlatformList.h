#ifndef BLUEBELLKEEL_PLATFORM_PLATFORMLIST_H
#define BLUEBELLKEEL_PLATFORM_PLATFORMLIST_H

#include "bluebellkeel/Membership/InstanceRecord.h"
#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include <tuple>
#include <vector>

namespace bluebellkeel {

/// The instances and upstreams in one version of the platform's list.
class platform_list : public comparable<platform_list> {
public:
  platform_list() = default;
  platform_list(std::vector<instance_record> Instances,
                std::vector<upstream_record> Upstreams)
      : Instances(std::move(Instances)), Upstreams(std::move(Upstreams)) {}

  const std::vector<instance_record> &instances() const { return Instances; }
  const std::vector<upstream_record> &upstreams() const { return Upstreams; }
  auto key() const { return std::tie(Instances, Upstreams); }

private:
  std::vector<instance_record> Instances;
  std::vector<upstream_record> Upstreams;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PLATFORM_PLATFORMLIST_H
