#include "bluebellkeel/Upstream/SharedRateLimiter.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

/// Lowest rate that is kept to. An upstream that accepts less still gets a
/// request now and then, since only its responses tell when it accepts more.
static constexpr double MinRate = 0.1;

/// Number of upstreams in a shard above which old ones are removed, and time
/// after which one is old.
static constexpr std::size_t MaxUpstreams = 64;
static constexpr seconds MaxAge{3600};

std::optional<shared_rate_limiter::interval>
shared_rate_limiter::intervalOf(const upstream_id &Upstream, double Rate,
                                const std::vector<instance_id> &Instances,
                                senders Senders) const {
  Rate = std::max(Rate, MinRate);
  auto Count = static_cast<double>(std::max<std::size_t>(1, Instances.size()));
  if (Senders == senders::All)
    return interval(Count / Rate);
  double Selected =
      std::min(Count, std::max(1.0, std::floor(SendersPerRate * Rate)));
  std::uint64_t OwnWeight = rendezvousWeight(Upstream.text(), Self.text());
  auto Before = std::count_if(
      Instances.begin(), Instances.end(), [&](const instance_id &Instance) {
        return rendezvousWeight(Upstream.text(), Instance.text()) > OwnWeight;
      });
  if (static_cast<double>(Before) >= Selected)
    return std::nullopt;
  return interval(Selected / Rate);
}

std::optional<milliseconds>
shared_rate_limiter::delay(const upstream_id &Upstream, double Rate,
                           const std::vector<instance_id> &Instances,
                           senders Senders) {
  auto Interval = intervalOf(Upstream, Rate, Instances, Senders);
  if (!Interval)
    return std::nullopt;
  monotonic_time Now = Clock.monotonicNow();
  return LastDue.withShard(Upstream.text(), [&](time_map &Shard) {
    auto Found = Shard.find(Upstream);
    if (Found == Shard.end())
      return milliseconds(0);
    interval Left = Found->second - Now + *Interval - Advance;
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(Left));
  });
}

bool shared_rate_limiter::admit(const upstream_id &Upstream, double Rate,
                                const std::vector<instance_id> &Instances,
                                senders Senders) {
  auto Interval = intervalOf(Upstream, Rate, Instances, Senders);
  if (!Interval)
    return false;
  auto Step = std::chrono::duration_cast<monotonic_time::duration>(*Interval);
  monotonic_time Now = Clock.monotonicNow();
  return LastDue.withShard(Upstream.text(), [&](time_map &Shard) {
    auto Found = Shard.find(Upstream);
    if (Found == Shard.end()) {
      if (Shard.size() >= MaxUpstreams)
        removeOld(Shard, Now);
      Shard.emplace(Upstream, Now);
      return true;
    }
    monotonic_time Due = Found->second + Step;
    if (Now < Due - Advance)
      return false;
    Found->second = std::max(Now, Due);
    return true;
  });
}

void shared_rate_limiter::removeOld(time_map &Shard, monotonic_time Now) {
  for (auto It = Shard.begin(); It != Shard.end();)
    It = Now - It->second > MaxAge ? Shard.erase(It) : std::next(It);
}
