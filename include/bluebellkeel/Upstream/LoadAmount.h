#ifndef BLUEBELLKEEL_UPSTREAM_LOADAMOUNT_H
#define BLUEBELLKEEL_UPSTREAM_LOADAMOUNT_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// An amount of load on an upstream, or of its capacity.
class load_amount : public comparable<load_amount> {
public:
  load_amount() = default;
  load_amount(std::uint32_t Requests, std::uint64_t Tokens)
      : Requests(Requests), Tokens(Tokens) {}

  std::uint32_t requests() const { return Requests; }
  /// Tokens that the upstream holds in memory for these requests.
  std::uint64_t tokens() const { return Tokens; }

  load_amount plus(const load_amount &Other) const {
    return load_amount(Requests + Other.Requests, Tokens + Other.Tokens);
  }
  /// Returns the difference to \p Other, with each part at least 0.
  load_amount minus(const load_amount &Other) const {
    return load_amount(Requests > Other.Requests ? Requests - Other.Requests
                                                 : 0,
                       Tokens > Other.Tokens ? Tokens - Other.Tokens : 0);
  }
  /// Returns the minimum of each part.
  load_amount atMost(const load_amount &Bound) const {
    return load_amount(Requests < Bound.Requests ? Requests : Bound.Requests,
                       Tokens < Bound.Tokens ? Tokens : Bound.Tokens);
  }
  /// True if no part exceeds that of \p Bound.
  bool fitsIn(const load_amount &Bound) const {
    return Requests <= Bound.Requests && Tokens <= Bound.Tokens;
  }

  auto key() const { return std::tie(Requests, Tokens); }

private:
  std::uint32_t Requests = 0;
  std::uint64_t Tokens = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_LOADAMOUNT_H
