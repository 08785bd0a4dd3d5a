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
  no_candidate() = default;
  explicit no_candidate(std::optional<milliseconds> FreeIn) : FreeIn(FreeIn) {}

  /// Time until an upstream whose limit is used up takes another request; empty
  /// if no upstream was left out for its limit.
  const std::optional<milliseconds> &freeIn() const { return FreeIn; }
  /// Returns the combination with that of another set of upstreams.
  no_candidate with(const no_candidate &Other) const {
    if (!FreeIn || !Other.FreeIn)
      return FreeIn ? *this : Other;
    return no_candidate(std::min(*FreeIn, *Other.FreeIn));
  }
  auto key() const { return std::tie(FreeIn); }

private:
  std::optional<milliseconds> FreeIn;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_NOCANDIDATE_H
