#include "bluebellkeel/Settings/SettingsStore.h"

using namespace bluebellkeel;

settings_store::settings_store()
    : State(std::make_shared<const settings_state>()),
      Routing(std::make_shared<const routing_settings>()) {}

settings_store::state_ptr settings_store::state() const {
  absl::MutexLock Lock(&Mutex);
  return State;
}

settings_store::routing_ptr settings_store::routing() const {
  absl::MutexLock Lock(&Mutex);
  return Routing;
}

void settings_store::apply(log_offset Offset, const settings_change &Change) {
  absl::MutexLock Lock(&Mutex);
  if (Offset <= Fold.state().applied())
    return;
  change_outcome Outcome = Fold.apply(Offset, Change);
  History.push_back(Outcome);
  if (History.size() > MaxHistory)
    History.pop_front();
  publish();
}

void settings_store::skip(log_offset Offset) {
  absl::MutexLock Lock(&Mutex);
  Fold.skip(Offset);
  publish();
}

bool settings_store::adopt(const settings_state &NewState) {
  absl::MutexLock Lock(&Mutex);
  if (NewState.applied() <= Fold.state().applied())
    return false;
  Fold = settings_fold(NewState);
  publish();
  return true;
}

std::optional<change_outcome>
settings_store::outcomeOf(const std::string &ChangeId) const {
  absl::MutexLock Lock(&Mutex);
  std::optional<change_outcome> Latest;
  for (const auto &Outcome : History) {
    if (Outcome.changeId() != ChangeId)
      continue;
    // A resend may come after a further change; the first verdict holds.
    if (!Latest)
      Latest = Outcome;
  }
  return Latest;
}

std::vector<change_outcome> settings_store::history() const {
  absl::MutexLock Lock(&Mutex);
  return {History.begin(), History.end()};
}

void settings_store::publish() {
  State = std::make_shared<const settings_state>(Fold.state());
  Routing = std::make_shared<const routing_settings>(Fold.state());
}
