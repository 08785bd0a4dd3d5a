#include "bluebellkeel/Upstream/NoticeTracker.h"
#include <algorithm>

using namespace bluebellkeel;

bool notice_tracker::note(const upstream_incarnation &Upstream,
                          const upstream_notice &Notice) {
  const upstream_id &Id = Upstream.upstream();
  monotonic_time Now = Clock.monotonicNow();
  return Entries.withShard(Id.text(), [&](entry_map &Shard) {
    auto Known = Shard.find(Id);
    if (Known == Shard.end()) {
      // Most upstreams never say anything.
      if (Notice == upstream_notice())
        return false;
      Known = Shard.emplace(Id, entry()).first;
      Known->second.Incarnation = Upstream.number();
    }
    entry &Entry = Known->second;
    if (Upstream.number() < Entry.Incarnation)
      return false;
    if (Upstream.number() > Entry.Incarnation) {
      Entry = entry();
      Entry.Incarnation = Upstream.number();
    }
    bool Changed = Notice != Entry.Notice;
    Entry.Notice = Notice;
    Entry.RateLimit = Notice.rateLimit();
    Entry.Leaving = Entry.Leaving || Notice.leaving();
    Entry.At = Now;
    Entry.PausedUntil =
        std::max(Entry.PausedUntil,
                 Now + std::min<milliseconds>(Notice.pause(), MaxPause));
    return Changed;
  });
}

/// True if the entry no longer says anything, to this instance or to peers.
bool notice_tracker::isExpired(const entry &Entry, monotonic_time Now) {
  bool SaysNothing = !Entry.RateLimit && Entry.Notice == upstream_notice();
  seconds Lifetime = SaysNothing ? ReportAge : LimitLifetime;
  return Now - Entry.At > (Entry.Leaving ? LeavingLifetime : Lifetime);
}

upstream_condition
notice_tracker::conditionOf(const upstream_incarnation &Upstream) {
  const upstream_id &Id = Upstream.upstream();
  monotonic_time Now = Clock.monotonicNow();
  return Entries.withShard(Id.text(), [&](entry_map &Shard) {
    auto Known = Shard.find(Id);
    if (Known == Shard.end() ||
        Known->second.Incarnation != Upstream.number() ||
        isExpired(Known->second, Now))
      return upstream_condition();
    const entry &Entry = Known->second;
    upstream_condition::fields Condition;
    Condition.RateLimit = Entry.RateLimit;
    Condition.LimitConfirmed = Now - Entry.At <= ReportAge;
    Condition.Leaving = Entry.Leaving;
    if (Now < Entry.PausedUntil)
      Condition.PauseLeft =
          std::chrono::ceil<milliseconds>(Entry.PausedUntil - Now);
    return upstream_condition(Condition);
  });
}

std::vector<notice_report> notice_tracker::report() {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<notice_report> Reports;
  Entries.forEachShard([&](entry_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      const entry &Entry = It->second;
      if (isExpired(Entry, Now)) {
        It = Shard.erase(It);
        continue;
      }
      auto Age = std::chrono::duration_cast<milliseconds>(Now - Entry.At);
      if (Age <= ReportAge)
        Reports.emplace_back(upstream_incarnation(It->first, Entry.Incarnation),
                             Entry.RateLimit, Entry.Leaving,
                             std::max(Age, milliseconds(0)));
      ++It;
    }
  });
  std::sort(Reports.begin(), Reports.end(),
            [](const notice_report &L, const notice_report &R) {
              return L.age() < R.age();
            });
  if (Reports.size() > MaxReported)
    Reports.erase(Reports.begin() + MaxReported, Reports.end());
  return Reports;
}

std::vector<notice_report>
notice_tracker::merge(const std::vector<notice_report> &Reports) {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<notice_report> News;
  for (const auto &Report : Reports) {
    if (Report.age() <= ReportAge && merge(Report, Now))
      News.push_back(Report);
  }
  return News;
}

bool notice_tracker::merge(const notice_report &Report, monotonic_time Now) {
  const upstream_id &Id = Report.upstream().upstream();
  std::uint64_t Incarnation = Report.upstream().number();
  monotonic_time At = Now - Report.age();
  return Entries.withShard(Id.text(), [&](entry_map &Shard) {
    auto Known = Shard.find(Id);
    if (Known != Shard.end() &&
        (Incarnation < Known->second.Incarnation ||
         (Incarnation == Known->second.Incarnation && At <= Known->second.At)))
      return false;
    entry &Entry = Shard[Id];
    if (Incarnation != Entry.Incarnation)
      Entry = entry();
    bool New = Entry.RateLimit != Report.rateLimit() ||
               Report.leaving() > Entry.Leaving;
    Entry.Incarnation = Incarnation;
    Entry.RateLimit = Report.rateLimit();
    Entry.Leaving = Entry.Leaving || Report.leaving();
    Entry.At = At;
    return New;
  });
}
