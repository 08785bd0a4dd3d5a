#ifndef BLUEBELLKEEL_MEMBERSHIP_FRESHNESSRULES_H
#define BLUEBELLKEEL_MEMBERSHIP_FRESHNESSRULES_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// How old knowledge may grow before it no longer counts.
class freshness_rules : public comparable<freshness_rules> {
public:
  /// Below the 10 s in which a configuration is in force everywhere.
  static constexpr milliseconds DefaultMaxLogAge{7000};
  static constexpr milliseconds DefaultMaxPeerAge{3000};

  freshness_rules() = default;
  freshness_rules(milliseconds MaxLogAge, milliseconds MaxPeerAge,
                  bool ContinueWhenCutOff)
      : MaxLogAge(MaxLogAge), MaxPeerAge(MaxPeerAge),
        ContinueWhenCutOff(ContinueWhenCutOff) {}

  /// Knowledge of the log's head older than this is not recent.
  milliseconds maxLogAge() const { return MaxLogAge; }
  /// A peer that has not answered for longer than this is silent.
  milliseconds maxPeerAge() const { return MaxPeerAge; }
  /// Whether an instance that is cut off goes on with what it has.
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
