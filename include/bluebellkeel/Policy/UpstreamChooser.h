#ifndef BLUEBELLKEEL_POLICY_UPSTREAMCHOOSER_H
#define BLUEBELLKEEL_POLICY_UPSTREAMCHOOSER_H

#include "bluebellkeel/Policy/Fingerprint.h"
#include "bluebellkeel/Policy/UpstreamCandidate.h"
#include <vector>

namespace bluebellkeel {

/// Orders the upstreams of a pool for one request, best first.
class upstream_chooser {
public:
  virtual ~upstream_chooser() = default;

  /// \p Prefix is the fingerprint of the prompt's start, which engines may hold
  /// in their cache.
  virtual std::vector<upstream_candidate>
  order(std::vector<upstream_candidate> Candidates,
        const fingerprint &Prefix) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_UPSTREAMCHOOSER_H
