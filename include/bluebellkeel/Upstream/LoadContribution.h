#ifndef BLUEBELLKEEL_UPSTREAM_LOADCONTRIBUTION_H
#define BLUEBELLKEEL_UPSTREAM_LOADCONTRIBUTION_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Upstream/InstanceLoad.h"
#include <vector>

namespace bluebellkeel {

/// The loads of one instance on all upstreams at one time.
class load_contribution : public comparable<load_contribution> {
public:
  /// \param Number increases with each contribution of the instance, also
  /// across restarts; never 0.
  load_contribution(instance_id Instance, std::uint64_t Number,
                    milliseconds Age, std::vector<instance_load> Loads)
      : Instance(std::move(Instance)), Number(Number), Age(Age),
        Loads(std::move(Loads)) {}

  const instance_id &instance() const { return Instance; }
  std::uint64_t number() const { return Number; }
  /// Time since the loads were taken, without the transit times of messages.
  milliseconds age() const { return Age; }
  const std::vector<instance_load> &loads() const { return Loads; }
  auto key() const { return std::tie(Instance, Number, Age, Loads); }

private:
  instance_id Instance;
  std::uint64_t Number;
  milliseconds Age;
  std::vector<instance_load> Loads;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_LOADCONTRIBUTION_H
