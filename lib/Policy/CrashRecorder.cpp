#include "bluebellkeel/Policy/CrashRecorder.h"
#include "bluebellkeel/Policy/BlockOwnership.h"
#include <algorithm>

using namespace bluebellkeel;

/// Returns the crashes of \p Records as a peer would report them.
static request_crash_report reportOf(const std::vector<crash_record> &Records,
                                     wall_time Now) {
  std::vector<request_crash> Crashes;
  for (const auto &Record : Records) {
    for (const auto &[Upstream, At] : Record.crashes()) {
      auto Age = std::chrono::duration_cast<milliseconds>(Now - At);
      // The clock of the instance that wrote the record may be ahead.
      Crashes.emplace_back(Record.request(), Upstream,
                           std::max(Age, milliseconds(0)));
    }
  }
  return request_crash_report(std::move(Crashes), {});
}

std::optional<std::vector<fingerprint>> crash_recorder::readBlocks() {
  auto Records = Log.read();
  if (!Records)
    return std::nullopt;
  for (const auto &Record : *Records)
    Read.insert(Record.request());
  return Tracker.merge(reportOf(*Records, Clock.wallNow()));
}

bool crash_recorder::writeOrRemove(const fingerprint &Request) {
  auto Record = Tracker.blockRecord(Request);
  if (!Record) {
    if (!Log.remove(Request))
      return false;
    Written.erase(Request);
    Read.erase(Request);
    return true;
  }
  if (!Log.write(*Record))
    return false;
  Written.insert(Request);
  return true;
}

/// Adds the requests whose block has ended to the pending ones.
void crash_recorder::findUnblocked(const std::vector<instance_id> &Instances) {
  for (const auto &Request : Written) {
    if (!Tracker.blocked(Request))
      Pending.insert(Request);
  }
  for (const auto &Request : Read) {
    if (!Tracker.blocked(Request) && ownsBlock(Request.text(), Self, Instances))
      Pending.insert(Request);
  }
}

void crash_recorder::writeChanges(std::uint64_t Era,
                                  const std::vector<instance_id> &Instances) {
  for (const auto &Request : Tracker.takeBlockChanges())
    Pending.insert(Request);
  // A restored log may have lost what it had acknowledged.
  if (Era > KnownEra) {
    KnownEra = Era;
    Pending.insert(Written.begin(), Written.end());
  }
  findUnblocked(Instances);
  while (!Pending.empty() && writeOrRemove(*Pending.begin()))
    Pending.erase(Pending.begin());
}
