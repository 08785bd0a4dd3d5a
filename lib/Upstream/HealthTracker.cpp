#include "bluebellkeel/Upstream/HealthTracker.h"
#include <algorithm>

using namespace bluebellkeel;

/// Consecutive failures before an upstream is excluded.
static constexpr unsigned FailureLimit = 3;
static constexpr milliseconds InitialBackoff{1000};
static constexpr milliseconds MaxBackoff{16000};

void health_tracker::noteSuccess(const upstream_id &Upstream) {
  Entries.withShard(Upstream.text(),
                    [&](entry_map &Shard) { Shard.erase(Upstream); });
}

void health_tracker::noteFailure(const upstream_id &Upstream) {
  monotonic_time Now = Clock.monotonicNow();
  Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Upstream];
    ++Entry.Failures;
    if (Entry.Failures < FailureLimit)
      return;
    constexpr unsigned MaxDoublings = 4;
    unsigned Doublings = std::min(Entry.Failures - FailureLimit, MaxDoublings);
    Entry.ExcludedUntil =
        Now + std::min(InitialBackoff * (1U << Doublings), MaxBackoff);
  });
}

bool health_tracker::healthy(const upstream_id &Upstream) {
  monotonic_time Now = Clock.monotonicNow();
  return Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    auto Found = Shard.find(Upstream);
    return Found == Shard.end() || Now >= Found->second.ExcludedUntil;
  });
}
