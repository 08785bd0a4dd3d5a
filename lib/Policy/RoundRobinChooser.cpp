#include "bluebellkeel/Policy/RoundRobinChooser.h"
#include <algorithm>

using namespace bluebellkeel;

std::vector<upstream_candidate>
round_robin_chooser::order(std::vector<upstream_candidate> Candidates,
                           const fingerprint & /*Prefix*/) {
  if (Candidates.empty())
    return Candidates;
  std::sort(Candidates.begin(), Candidates.end());
  auto First = static_cast<std::ptrdiff_t>(NextIndex++ % Candidates.size());
  std::rotate(Candidates.begin(), Candidates.begin() + First, Candidates.end());
  return Candidates;
}
