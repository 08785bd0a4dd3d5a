#ifndef BLUEBELLKEEL_POLICY_ROUNDROBINCHOOSER_H
#define BLUEBELLKEEL_POLICY_ROUNDROBINCHOOSER_H

#include "bluebellkeel/Policy/UpstreamChooser.h"
#include <atomic>

namespace bluebellkeel {

/// Baseline chooser: takes the upstreams in turn.
class round_robin_chooser final : public upstream_chooser {
public:
  std::vector<upstream_candidate>
  order(std::vector<upstream_candidate> Candidates,
        const fingerprint &Prefix) override;

private:
  std::atomic<std::size_t> NextIndex{0};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROUNDROBINCHOOSER_H
