#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMLIFECYCLE_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMLIFECYCLE_H

#include "bluebellkeel/Upstream/UpstreamPhase.h"
#include <memory>

namespace bluebellkeel {

/// The life of one upstream as its owner sees it, as a state machine.
class upstream_lifecycle {
public:
  upstream_lifecycle();
  ~upstream_lifecycle();
  upstream_lifecycle(upstream_lifecycle &&) noexcept;
  upstream_lifecycle &operator=(upstream_lifecycle &&) noexcept;

  upstream_phase phase() const;

  /// A load report said that the upstream is cold.
  void reportedCold();
  /// A load report said that the upstream is warm.
  void reportedWarm();
  /// The load has been raised to all that the upstream bears.
  void reachedFullLoad();
  /// Load reports have failed for too long.
  void reportsFailed();
  /// The platform said that the upstream will go.
  void listedLeaving();
  /// The platform no longer lists the upstream.
  void unlisted();

private:
  class machine;
  std::unique_ptr<machine> Machine;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMLIFECYCLE_H
