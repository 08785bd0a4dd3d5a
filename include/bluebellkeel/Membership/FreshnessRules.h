#ifndef BLUEBELLKEEL_MEMBERSHIP_FRESHNESSRULES_H
#define BLUEBELLKEEL_MEMBERSHIP_FRESHNESSRULES_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// Limits on the age of settings and heartbeats, and whether an instance serves
/// when it is cut off.
class freshness_rules : public comparable<freshness_rules> {
public:
  /// Below the 10 s within which a configuration is in force on every instance.
  static constexpr milliseconds DefaultMaxLogAge{7000};
  static constexpr milliseconds DefaultMaxPeerAge{3000};

  freshness_rules() = default;
  freshness_rules(milliseconds MaxLogAge, milliseconds MaxPeerAge,
                  bool ContinueWhenCutOff)
      : MaxLogAge(MaxLogAge), MaxPeerAge(MaxPeerAge),
        ContinueWhenCutOff(ContinueWhenCutOff) {}

  /// Settings last known to be the newest longer ago than this are not recent.
  milliseconds maxLogAge() const { return MaxLogAge; }
  /// A peer whose last answered request is older than this is silent.
  milliseconds maxPeerAge() const { return MaxPeerAge; }
  /// True if an instance that reaches no majority of its peers keeps serving
  /// with its last settings.
  bool continueWhenCutOff() const { return ContinueWhenCutOff; }
  auto key() const {
    return std::tie(MaxLogAge, MaxPeerAge, ContinueWhenCutOff);
  }

private:
  milliseconds MaxLogAge = DefaultMaxLogAge;
  milliseconds MaxPeerAge = DefaultMaxPeerAge;
  bool ContinueWhenCutOff = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_FRESHNESSRULES_H
