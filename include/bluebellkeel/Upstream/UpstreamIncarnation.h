#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMINCARNATION_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMINCARNATION_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// One run of an upstream, from its start to its end. An upstream may start
/// again under its id.
class upstream_incarnation : public comparable<upstream_incarnation> {
public:
  /// \param Number increases with each start under the same id.
  upstream_incarnation(upstream_id Upstream, std::uint64_t Number)
      : Upstream(std::move(Upstream)), Number(Number) {}

  const upstream_id &upstream() const { return Upstream; }
  std::uint64_t number() const { return Number; }
  auto key() const { return std::tie(Upstream, Number); }

private:
  upstream_id Upstream;
  std::uint64_t Number;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMINCARNATION_H
