#ifndef BLUEBELLKEEL_RELAY_RUNSTATE_H
#define BLUEBELLKEEL_RELAY_RUNSTATE_H

#include <string_view>

namespace bluebellkeel {

/// What a refusal says of whether the request ran.
enum class run_state {
  /// It did not run and will not.
  NotRun,
  /// It ran, or is running.
  Ran,
  /// It may have run.
  Unknown,
};

/// The value of the field `not_run` in an error answer.
inline std::string_view toNotRun(run_state State) {
  switch (State) {
  case run_state::NotRun:
    return "true";
  case run_state::Ran:
    return "false";
  case run_state::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_RUNSTATE_H
