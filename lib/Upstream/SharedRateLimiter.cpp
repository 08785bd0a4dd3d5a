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

/// Time for which the rank among the instances is used again. Counting it takes
/// a hash for each instance.
static constexpr milliseconds RankLifetime{500};

/// Removes the entries older than MaxAge from a map that holds many, so that it
/// does not grow with all upstreams that ever were.
template <typename map_t, typename time_of_t>
static void removeOld(map_t &Shard, monotonic_time Now, time_of_t TimeOf) {
  if (Shard.size() < MaxUpstreams)
    return;
  for (auto It = Shard.begin(); It != Shard.end();)
    It = Now - TimeOf(It->second) > MaxAge ? Shard.erase(It) : std::next(It);
}

std::size_t
shared_rate_limiter::precedingOf(const upstream_id &Upstream,
                                 const std::vector<instance_id> &Instances) {
  monotonic_time Now = Clock.monotonicNow();
  auto Known = Ranks.withShard(Upstream.text(), [&](rank_map &Shard) {
    auto Found = Shard.find(Upstream);
    return Found == Shard.end() ? rank() : Found->second;
  });
  if (Known.Instances == Instances.size() && Now - Known.At < RankLifetime)
    return Known.Preceding;
  std::uint64_t OwnWeight = rendezvousWeight(Upstream.text(), Self.text());
  auto Precedes = [&](const instance_id &Instance) {
    return rendezvousWeight(Upstream.text(), Instance.text()) > OwnWeight;
  };
  auto Preceding = static_cast<std::size_t>(
      std::count_if(Instances.begin(), Instances.end(), Precedes));
  Ranks.withShard(Upstream.text(), [&](rank_map &Shard) {
    removeOld(Shard, Now, [](const rank &Rank) { return Rank.At; });
    Shard[Upstream] = {Preceding, Instances.size(), Now};
  });
  return Preceding;
}

std::optional<shared_rate_limiter::interval>
shared_rate_limiter::intervalOf(const request &Request) {
  double Rate = std::max(Request.Rate, MinRate);
  auto Count =
      static_cast<double>(std::max<std::size_t>(1, Request.Instances.size()));
  if (Request.Senders == senders::All)
    return interval(Count / Rate);
  double Selected =
      std::min(Count, std::max(1.0, std::floor(SendersPerRate * Rate)));
  if (static_cast<double>(precedingOf(Request.Upstream, Request.Instances)) >=
      Selected)
    return std::nullopt;
  return interval(Selected / Rate);
}

std::optional<milliseconds> shared_rate_limiter::delay(const request &Request) {
  auto Interval = intervalOf(Request);
  if (!Interval)
    return std::nullopt;
  monotonic_time Now = Clock.monotonicNow();
  return LastDue.withShard(Request.Upstream.text(), [&](time_map &Shard) {
    auto Found = Shard.find(Request.Upstream);
    if (Found == Shard.end())
      return milliseconds(0);
    interval Left = Found->second - Now + *Interval - advanceOf(Request);
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(Left));
  });
}

bool shared_rate_limiter::admit(const request &Request) {
  auto Interval = intervalOf(Request);
  if (!Interval)
    return false;
  auto Step = std::chrono::duration_cast<monotonic_time::duration>(*Interval);
  monotonic_time Now = Clock.monotonicNow();
  return LastDue.withShard(Request.Upstream.text(), [&](time_map &Shard) {
    auto Found = Shard.find(Request.Upstream);
    if (Found == Shard.end()) {
      removeOld(Shard, Now, [](monotonic_time Due) { return Due; });
      Shard.emplace(Request.Upstream, Now);
      return true;
    }
    monotonic_time Due = Found->second + Step;
    if (Now < Due - advanceOf(Request))
      return false;
    Found->second = std::max(Now, Due);
    return true;
  });
}
