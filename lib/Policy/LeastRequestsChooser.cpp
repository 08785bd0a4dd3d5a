#include "bluebellkeel/Policy/LeastRequestsChooser.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>

using namespace bluebellkeel;

std::vector<upstream_candidate>
least_requests_chooser::order(std::vector<upstream_candidate> Candidates,
                              const fingerprint &Prefix) {
  auto Weight = [&](const upstream_candidate &Candidate) {
    return rendezvousWeight(Prefix.text(), Candidate.id().text());
  };
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const upstream_candidate &L, const upstream_candidate &R) {
              if (L.inFlight() != R.inFlight())
                return L.inFlight() < R.inFlight();
              if (L.sameDataCentre() != R.sameDataCentre())
                return L.sameDataCentre();
              return Weight(L) > Weight(R);
            });
  return Candidates;
}
