#ifndef BLUEBELLKEEL_RELAY_RUNSTATE_H
#define BLUEBELLKEEL_RELAY_RUNSTATE_H

#include <string_view>

namespace bluebellkeel {

/// Whether a refused request ran.
enum class run_state {
  /// The request did not run and will not.
  NotRun,
  /// The request ran or is running.
  Ran,
  /// The request may have run.
  Unknown,
};

/// Returns the value of the field `not_run` in an error response.
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
