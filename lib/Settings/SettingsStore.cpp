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
  if (Offset <= StateMachine.state().applied())
    return;
  change_outcome Outcome = StateMachine.apply(Offset, Change);
  History.push_back(Outcome);
  if (History.size() > MaxHistory)
    History.pop_front();
  publish();
}

void settings_store::skip(log_offset Offset) {
  absl::MutexLock Lock(&Mutex);
  StateMachine.skip(Offset);
  publish();
}

bool settings_store::replaceIfNewer(const settings_state &NewState) {
  absl::MutexLock Lock(&Mutex);
  if (NewState.applied() <= StateMachine.state().applied())
    return false;
  StateMachine = settings_state_machine(NewState);
  publish();
  return true;
}

std::optional<change_outcome>
settings_store::outcomeOf(const std::string &ChangeId) const {
  absl::MutexLock Lock(&Mutex);
  std::optional<change_outcome> First;
  for (const auto &Outcome : History) {
    if (Outcome.changeId() != ChangeId)
      continue;
    // A resend that follows a further change has its own outcome; the first
    // outcome is the valid one.
    if (!First)
      First = Outcome;
  }
  return First;
}

std::vector<change_outcome> settings_store::history() const {
  absl::MutexLock Lock(&Mutex);
  return {History.begin(), History.end()};
}

void settings_store::publish() {
  State = std::make_shared<const settings_state>(StateMachine.state());
  Routing = std::make_shared<const routing_settings>(StateMachine.state());
}
