#ifndef BLUEBELLKEEL_PEER_LOADBATCH_H
#define BLUEBELLKEEL_PEER_LOADBATCH_H

#include "bluebellkeel/Upstream/LoadContribution.h"
#include "bluebellkeel/Upstream/UpstreamReport.h"
#include <vector>

namespace bluebellkeel {

/// Contributions to the board and reports of upstreams, sent one way to a
/// collector: the sender's own, or those that a collector passes on to the
/// collector of another data centre.
class load_batch : public comparable<load_batch> {
public:
  load_batch(std::vector<load_contribution> Contributions,
             std::vector<upstream_report> Reports)
      : Contributions(std::move(Contributions)), Reports(std::move(Reports)) {}

  const std::vector<load_contribution> &contributions() const {
    return Contributions;
  }
  const std::vector<upstream_report> &reports() const { return Reports; }
  auto key() const { return std::tie(Contributions, Reports); }

private:
  std::vector<load_contribution> Contributions;
  std::vector<upstream_report> Reports;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_LOADBATCH_H
