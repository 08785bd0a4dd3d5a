#ifndef BLUEBELLKEEL_DUTY_DUTYOUTCOME_H
#define BLUEBELLKEEL_DUTY_DUTYOUTCOME_H

#include <string_view>

namespace bluebellkeel {

/// What the platform answered to a call that is a duty.
enum class duty_outcome {
  Accepted,
  /// A higher fence token was seen; the call had no effect.
  Fenced,
  /// Too many calls, or the platform is in trouble; the call had no effect.
  Rejected,
  /// No answer; the call may take effect, also later.
  Unknown,
};

inline std::string_view toString(duty_outcome Outcome) {
  switch (Outcome) {
  case duty_outcome::Accepted:
    return "accepted";
  case duty_outcome::Fenced:
    return "fenced";
  case duty_outcome::Rejected:
    return "rejected";
  case duty_outcome::Unknown:
    return "unknown";
  }
  return "";
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_DUTYOUTCOME_H
