#ifndef BLUEBELLKEEL_POLICY_LEASTREQUESTSCHOOSER_H
#define BLUEBELLKEEL_POLICY_LEASTREQUESTSCHOOSER_H

#include "bluebellkeel/Policy/UpstreamChooser.h"

namespace bluebellkeel {

/// Orders upstreams by the requests that this instance has running there,
/// fewest first; among equals, those of this data centre come first. Used as a
/// baseline and for plain services, which have no prompt cache.
class least_requests_chooser final : public upstream_chooser {
public:
  std::vector<upstream_candidate>
  order(std::vector<upstream_candidate> Candidates,
        const fingerprint &Prefix) override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_LEASTREQUESTSCHOOSER_H
