#include "bluebellkeel/Policy/LeastLoadedPlacement.h"
#include <algorithm>

using namespace bluebellkeel;

static double loadOf(const placement_candidate &Candidate) {
  double Slots = std::max<double>(1, Candidate.listing().slots());
  return (Candidate.load().running() + Candidate.load().waiting()) / Slots;
}

std::vector<placement_candidate>
least_loaded_placement::order(std::vector<placement_candidate> Candidates,
                              const prompt & /*Prompt*/,
                              double /*RelativeTokenTime*/) const {
  std::stable_sort(
      Candidates.begin(), Candidates.end(),
      [](const placement_candidate &L, const placement_candidate &R) {
        return loadOf(L) < loadOf(R);
      });
  return Candidates;
}
