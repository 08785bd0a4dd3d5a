#ifndef BLUEBELLKEEL_POLICY_AFFINITYCHOOSER_H
#define BLUEBELLKEEL_POLICY_AFFINITYCHOOSER_H

#include "bluebellkeel/Policy/UpstreamChooser.h"

namespace bluebellkeel {

/// Sends prompts with the same prefix to the same upstream by rendezvous
/// hashing, unless that upstream has more than MaxExcess times the mean load.
class affinity_chooser final : public upstream_chooser {
public:
  static constexpr double MaxExcess = 1.25;

  std::vector<upstream_candidate>
  order(std::vector<upstream_candidate> Candidates,
        const fingerprint &Prefix) override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_AFFINITYCHOOSER_H
