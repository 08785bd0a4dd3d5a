#include "bluebellkeel/Journal/SettingsFollower.h"

using namespace bluebellkeel;

/// Most records requested by one read of the settings stream.
static constexpr std::size_t ReadPage = 500;

settings_follower::settings_follower(settings_log &Log, settings_store &Store,
                                     const time_source &Clock)
    : Log(Log), Store(Store), Clock(Clock),
      LastSnapshotAt(Clock.monotonicNow()) {}

bool settings_follower::pollOnce() {
  while (true) {
    monotonic_time Started = Clock.monotonicNow();
    log_offset From = Store.state()->applied().next();
    auto Page = Log.read(From, ReadPage);
    if (!Page)
      return false;
    if (!applyPage(*Page))
      return false;
    if (Store.state()->applied() < Page->head())
      continue;
    absl::MutexLock Lock(&Mutex);
    CaughtUp = Started;
    FirstRetained = Page->firstRetained();
    return true;
  }
}

bool settings_follower::applyPage(const log_page<settings_record> &Page) {
  log_offset Needed = Store.state()->applied().next();
  if (Page.firstRetained() > Needed && !startFromSnapshot(Page))
    return false;
  for (const auto &Record : Page.records())
    applyRecord(Record);
  if (Page.readTo() > Store.state()->applied())
    Store.skip(Page.readTo());
  return Page.readTo() >= Needed || Page.head() < Needed;
}

/// Replaces the state with a snapshot that covers all changes before the first
/// retained record, since the log no longer contains these changes. Returns
/// false when there is no such snapshot.
bool settings_follower::startFromSnapshot(
    const log_page<settings_record> &FirstPage) {
  log_page<settings_record> Page = FirstPage;
  while (true) {
    for (const auto &Record : Page.records()) {
      const auto *Snapshot = std::get_if<settings_snapshot>(&Record.entry());
      if (!Snapshot)
        continue;
      if (Snapshot->state().applied().next() < FirstPage.firstRetained())
        continue;
      Store.replaceIfNewer(Snapshot->state());
      return true;
    }
    if (Page.readTo() >= Page.head())
      return false;
    auto Next = Log.read(Page.readTo().next(), ReadPage);
    if (!Next || Next->readTo() <= Page.readTo())
      return false;
    Page = *Next;
  }
}

void settings_follower::applyRecord(const log_record<settings_record> &Record) {
  if (const auto *Change = std::get_if<settings_change>(&Record.entry())) {
    Store.apply(Record.offset(), *Change);
    return;
  }
  const auto &Snapshot = std::get<settings_snapshot>(Record.entry());
  Store.skip(Record.offset());
  absl::MutexLock Lock(&Mutex);
  if (Snapshot.state().applied() > SnapshotOffset)
    SnapshotOffset = Snapshot.state().applied();
  LastSnapshotAt = Clock.monotonicNow();
}

bool settings_follower::snapshotIfDue(seconds Interval) {
  auto State = Store.state();
  {
    absl::MutexLock Lock(&Mutex);
    bool IntervalElapsed = Clock.monotonicNow() - LastSnapshotAt >= Interval;
    bool RecordsDropped = FirstRetained > SnapshotOffset.next();
    if (!CaughtUp || State->values().empty() ||
        (!IntervalElapsed && !RecordsDropped))
      return false;
  }
  return Log.append({settings_snapshot(*State)}).has_value();
}

std::optional<monotonic_time> settings_follower::lastCaughtUp() const {
  absl::MutexLock Lock(&Mutex);
  return CaughtUp;
}
