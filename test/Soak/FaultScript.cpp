#include "FaultScript.h"
#include <algorithm>
#include <random>

using namespace bluebellkeel;

/// A fault begins about so often.
static constexpr milliseconds Spacing{700};
static constexpr int ShortestMs = 300;
static constexpr int LongestMs = 4000;

fault_script::fault_script(std::uint64_t Seed, milliseconds Length,
                           int Gateways, int Runners) {
  std::mt19937_64 Random(Seed);
  auto Below = [&Random](int Bound) {
    return static_cast<int>(Random() % static_cast<std::uint64_t>(Bound));
  };
  constexpr int Kinds = 8;
  constexpr int Modes = 5;
  auto Count = Length / Spacing;
  for (int I = 0; I < Count; ++I) {
    milliseconds Start(Below(static_cast<int>(Length.count())));
    milliseconds Lasting(ShortestMs + Below(LongestMs - ShortestMs));
    auto Kind = static_cast<fault_kind>(Below(Kinds));
    auto Mode = static_cast<link_mode>(1 + Below(Modes));
    bool AtRunner = Kind == fault_kind::PauseRunner ||
                    Kind == fault_kind::KillRunner ||
                    Kind == fault_kind::RunnerLink;
    Faults.emplace_back(Start, Lasting, Kind,
                        Below(AtRunner ? Runners : Gateways), Mode);
  }
  std::sort(Faults.begin(), Faults.end());
}
