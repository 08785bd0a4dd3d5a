#ifndef BLUEBELLKEEL_UPSTREAM_INSTANCELOAD_H
#define BLUEBELLKEEL_UPSTREAM_INSTANCELOAD_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// Load of one instance on one upstream.
class instance_load : public comparable<instance_load> {
public:
  instance_load() = default;
  instance_load(upstream_id Upstream, std::uint64_t Running,
                std::uint64_t Prefill)
      : Upstream(std::move(Upstream)), Running(Running), Prefill(Prefill) {}

  const upstream_id &upstream() const { return Upstream; }
  std::uint64_t running() const { return Running; }
  /// Weighted prompt tokens of requests whose response has not begun.
  std::uint64_t prefill() const { return Prefill; }
  auto key() const { return std::tie(Upstream, Running, Prefill); }

private:
  upstream_id Upstream;
  std::uint64_t Running = 0;
  std::uint64_t Prefill = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_INSTANCELOAD_H
