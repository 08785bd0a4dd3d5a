#ifndef BLUEBELLKEEL_PEER_STATEANSWER_H
#define BLUEBELLKEEL_PEER_STATEANSWER_H

#include "bluebellkeel/Settings/SettingsState.h"

namespace bluebellkeel {

/// The settings that are in force at a peer; the answer to a state_query.
class state_answer : public comparable<state_answer> {
public:
  state_answer() = default;
  explicit state_answer(settings_state State) : State(std::move(State)) {}

  const settings_state &state() const { return State; }
  const settings_state &key() const { return State; }

private:
  settings_state State;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_STATEANSWER_H
