#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMLIFECYCLE_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMLIFECYCLE_H

#include "bluebellkeel/Upstream/UpstreamPhase.h"
#include <memory>

namespace bluebellkeel {

/// State machine of an upstream's phases, as its owner sees them.
class upstream_lifecycle {
public:
  upstream_lifecycle();
  ~upstream_lifecycle();
  upstream_lifecycle(upstream_lifecycle &&) noexcept;
  upstream_lifecycle &operator=(upstream_lifecycle &&) noexcept;

  upstream_phase phase() const;

  /// The upstream reported that it is cold.
  void reportedCold();
  /// The upstream reported that it is warm.
  void reportedWarm();
  /// The load limit has been raised to the upstream's full capacity.
  void reachedFullLoad();
  /// Load reports have been missing for too long.
  void reportsFailed();
  /// The platform lists the upstream as leaving.
  void listedLeaving();
  /// The platform no longer lists the upstream.
  void unlisted();

private:
  class machine;
  std::unique_ptr<machine> Machine;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMLIFECYCLE_H
