#ifndef BLUEBELLKEEL_MEMBERSHIP_INSTANCESTATE_H
#define BLUEBELLKEEL_MEMBERSHIP_INSTANCESTATE_H

#include <string_view>

namespace bluebellkeel {

/// The state of an instance in the platform's list.
enum class instance_state { Live, Leaving };

inline std::string_view toString(instance_state State) {
  return State == instance_state::Live ? "live" : "leaving";
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_INSTANCESTATE_H
