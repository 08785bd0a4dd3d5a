#include "bluebellkeel/Policy/AffinityChooser.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>

using namespace bluebellkeel;

std::vector<upstream_candidate>
affinity_chooser::order(std::vector<upstream_candidate> Candidates,
                        const fingerprint &Prefix) {
  double Total = 1;
  for (const auto &Candidate : Candidates)
    Total += Candidate.inFlight();
  double Bound =
      MaxExcess * Total /
      static_cast<double>(std::max<std::size_t>(1, Candidates.size()));
  auto Weight = [&](const upstream_candidate &Candidate) {
    return rendezvousWeight(Prefix.text(), Candidate.id().text());
  };
  auto Within = [&](const upstream_candidate &Candidate) {
    return Candidate.inFlight() + 1 <= std::max(1.0, Bound);
  };
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const upstream_candidate &L, const upstream_candidate &R) {
              if (Within(L) != Within(R))
                return Within(L);
              return Weight(L) > Weight(R);
            });
  return Candidates;
}
