#include "bluebellkeel/Upstream/ColdStartLimiter.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>

using namespace bluebellkeel;

/// Returns the number of instances that send to a cold upstream. Each sender
/// may exceed its part of the rate by one request per window, so there is at
/// most one sender per 2 requests per second; this keeps the total within one
/// and a half times the rate.
static std::size_t sendersFor(double Rate, std::size_t Instances) {
  constexpr double SendersPerRate = 0.5;
  auto MaxSenders =
      static_cast<std::size_t>(std::max(1.0, SendersPerRate * Rate));
  return std::clamp<std::size_t>(Instances, 1, MaxSenders);
}

bool cold_start_limiter::admit(const upstream_id &Upstream, double Rate,
                               const std::vector<instance_id> &Instances) {
  std::size_t Senders = sendersFor(Rate, Instances.size());
  std::uint64_t OwnWeight = rendezvousWeight(Upstream.text(), Self.text());
  auto Before = std::count_if(
      Instances.begin(), Instances.end(), [&](const instance_id &Instance) {
        return rendezvousWeight(Upstream.text(), Instance.text()) > OwnWeight;
      });
  if (static_cast<std::size_t>(Before) >= Senders)
    return false;
  std::chrono::duration<double> Interval(static_cast<double>(Senders) /
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
