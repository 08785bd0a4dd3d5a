#ifndef BLUEBELLKEEL_RELAY_NOCANDIDATE_H
#define BLUEBELLKEEL_RELAY_NOCANDIDATE_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <algorithm>
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// Why no upstream can take an attempt now.
class no_candidate : public comparable<no_candidate> {
public:
  /// No upstream was left out for its limit or a pause.
  no_candidate() = default;
  no_candidate(milliseconds FreeIn, double Rate) : FreeIn(FreeIn), Rate(Rate) {}

  /// Time until an upstream whose limit is used up, or which asked for a pause,
  /// takes another request from some instance; empty if there is none.
  const std::optional<milliseconds> &freeIn() const { return FreeIn; }
  /// This instance's equal part of the limits of these upstreams, in requests
  /// per second; 0 if they only asked for pauses.
  double rate() const { return Rate; }
  /// Returns the combination with that of other upstreams.
  no_candidate with(const no_candidate &Other) const {
    if (!FreeIn || !Other.FreeIn)
      return FreeIn ? *this : Other;
    return {std::min(*FreeIn, *Other.FreeIn), Rate + Other.Rate};
  }
  auto key() const { return std::tie(FreeIn, Rate); }

private:
  std::optional<milliseconds> FreeIn;
  double Rate = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_NOCANDIDATE_H
