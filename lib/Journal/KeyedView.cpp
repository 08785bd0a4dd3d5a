#include "bluebellkeel/Journal/KeyedView.h"
#include <algorithm>

using namespace bluebellkeel;

bool keyed_view::insertIfNewer(const keyed_record &Record) {
  auto Known = Records.find(Record.name());
  if (Known == Records.end()) {
    // The view is complete up to End, so a key that it lacks was deleted before
    // then. Only a peer that is behind still has its record.
    if (Record.position() <= End)
      return false;
    Records.emplace(Record.name(), Record);
    return true;
  }
  if (Known->second.position() >= Record.position())
    return false;
  Known->second = Record;
  return true;
}

void keyed_view::apply(const keyed_page &Page) {
  if (Page.holdsAllKeys())
    replace(Page);
  else
    applyRecords(Page);
}

void keyed_view::applyRecords(const keyed_page &Page) {
  absl::MutexLock NotifyLock(&NotifyMutex);
  bool Restored = Page.end().era() > end().era();
  for (const auto &Record : Page.records()) {
    bool Newer = false;
    std::optional<std::string> Before;
    {
      absl::MutexLock Lock(&Mutex);
      auto Known = Records.find(Record.name());
      if (Known != Records.end())
        Before = Known->second.value();
      Newer = insertIfNewer(Record);
    }
    if (Newer)
      passOn(Record, Before.value_or(Record.value()), Restored);
  }
  absl::MutexLock Lock(&Mutex);
  End = std::max(End, Page.end());
}

/// Passes \p Record on to the listener, or holds it if it may be older than the
/// value \p Before.
void keyed_view::passOn(const keyed_record &Record, const std::string &Before,
                        bool Restored) {
  auto Found = Held.find(Record.name());
  bool IsHeld = Found != Held.end();
  const std::string &InForce = IsHeld ? Found->second.InForce : Before;
  bool MayBeOlder =
      Restored && Record.value() != InForce &&
      (Record.isDeleted() || !Listener.ordersByValue(Record.name()));
  bool StillHeld = IsHeld && Found->second.Record.value() == Record.value();
  if (MayBeOlder || (StillHeld && !Restored)) {
    held_record Hold{Record, InForce, std::nullopt};
    if (!Restored)
      Hold.Since = Found->second.Since;
    Held.insert_or_assign(Record.name(), std::move(Hold));
    return;
  }
  Held.erase(Record.name());
  Listener.onRecordChanged(Record);
}

void keyed_view::settle(monotonic_time Now) {
  absl::MutexLock NotifyLock(&NotifyMutex);
  for (auto It = Held.begin(); It != Held.end();) {
    held_record &Hold = It->second;
    if (!Hold.Since)
      Hold.Since = Now;
    if (Now - *Hold.Since < RestoreGrace) {
      ++It;
      continue;
    }
    keyed_record Record = Hold.Record;
    It = Held.erase(It);
    Listener.onRecordChanged(Record);
  }
}

void keyed_view::replace(const keyed_page &Page) {
  std::map<std::string, const keyed_record *> Present;
  for (const auto &Record : Page.records())
    Present.emplace(Record.name(), &Record);
  std::vector<keyed_record> All = Page.records();
  {
    absl::MutexLock Lock(&Mutex);
    for (const auto &[Key, Record] : Records) {
      if (Present.count(Key) > 0 || Record.isDeleted())
        continue;
      // Reading the page began at its end, so newer records stay.
      if (Record.position() <= Page.end())
        All.emplace_back(Key, "", Page.end());
    }
    if (Page.end() > End)
      DeletionsKnownAfter = Page.end();
  }
  applyRecords(keyed_page(std::move(All), Page.end()));
}

log_position keyed_view::end() const {
  absl::MutexLock Lock(&Mutex);
  return End;
}

keyed_page keyed_view::since(log_position After) const {
  absl::MutexLock Lock(&Mutex);
  bool All = After < DeletionsKnownAfter;
  std::vector<keyed_record> Newer;
  for (const auto &[Key, Record] : Records) {
    if (All || Record.position() > After)
      Newer.push_back(Record);
  }
  std::sort(Newer.begin(), Newer.end(),
            [](const keyed_record &L, const keyed_record &R) {
              return L.position() < R.position();
            });
  return keyed_page(std::move(Newer), End,
                    All ? keyed_page::scope::AllKeys
                        : keyed_page::scope::Changes);
}

std::optional<keyed_record> keyed_view::find(const std::string &Key) const {
  absl::MutexLock Lock(&Mutex);
  auto Known = Records.find(Key);
  if (Known == Records.end())
    return std::nullopt;
  return Known->second;
}
