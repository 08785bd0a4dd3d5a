#ifndef BLUEBELLKEEL_MEMBERSHIP_SERVINGVERDICT_H
#define BLUEBELLKEEL_MEMBERSHIP_SERVINGVERDICT_H

#include <string_view>

namespace bluebellkeel {

/// Whether an instance may take new work, according to the age of its settings.
enum class serving_verdict {
  /// The settings are known to be recent.
  Fresh,
  /// The log is unreachable for a majority of instances as well, or
  /// freshness_rules::continueWhenCutOff() is true; the last settings stay in
  /// force.
  LogOutage,
  /// Other instances may follow newer settings; this instance takes no new
  /// work.
  CutOff,
  /// No settings were read yet.
  NoSettings,
};

constexpr bool mayServe(serving_verdict Verdict) {
  return Verdict == serving_verdict::Fresh ||
         Verdict == serving_verdict::LogOutage;
}

inline std::string_view toString(serving_verdict Verdict) {
  switch (Verdict) {
  case serving_verdict::Fresh:
    return "fresh";
  case serving_verdict::LogOutage:
    return "log_outage";
  case serving_verdict::CutOff:
    return "cut_off";
  case serving_verdict::NoSettings:
    return "no_settings";
  }
  return "";
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_SERVINGVERDICT_H
