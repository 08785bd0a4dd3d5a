#include "bluebellkeel/Upstream/ColdGate.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

bool cold_gate::admit(const upstream_id &Upstream, double Rate,
                      const std::vector<instance_id> &Instances) {
  auto Senders = std::min<std::size_t>(
      Instances.size(), std::max(1L, std::lround(std::floor(Rate))));
  std::uint64_t OwnWeight = rendezvousWeight(Upstream.text(), Self.text());
  std::size_t Before = 0;
  for (const auto &Instance : Instances) {
    if (rendezvousWeight(Upstream.text(), Instance.text()) > OwnWeight)
      ++Before;
  }
  if (Before >= std::max<std::size_t>(Senders, 1))
    return false;
  std::chrono::duration<double> Interval(
      static_cast<double>(std::max<std::size_t>(Senders, 1)) /
      std::max(Rate, 1.0));
  monotonic_time Now = Clock.monotonicNow();
  return LastSent.withShard(Upstream.text(), [&](auto &Shard) {
    auto Found = Shard.find(Upstream);
    if (Found != Shard.end() && Now - Found->second < Interval)
      return false;
    Shard[Upstream] = Now;
    return true;
  });
}
