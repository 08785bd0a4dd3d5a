#include "FaultSchedule.h"
#include <algorithm>
#include <random>

using namespace bluebellkeel;

/// Mean time between the starts of two faults.
static constexpr milliseconds MeanFaultInterval{700};
static constexpr int MinFaultMs = 300;
static constexpr int MaxFaultMs = 4000;
static constexpr int ReadDrops = 2;
static constexpr std::uint64_t MaxRestores = 3;
/// Added to the seed, so that a seed's other faults stay as they were before
/// these kinds existed.
static constexpr std::uint64_t NoticeSeed = 1000003;
static constexpr std::uint64_t RestoreSeed = 2000003;

static milliseconds lengthOf(fault_kind Kind) {
  switch (Kind) {
  case fault_kind::LimitRunner:
    return milliseconds(9000);
  case fault_kind::LeaveRunner:
    return milliseconds(4000);
  case fault_kind::RestoreStore:
    return milliseconds(700);
  default:
    return milliseconds(2500);
  }
}

fault_schedule::fault_schedule(std::uint64_t Seed, milliseconds Length,
                               int Gateways, int Runners) {
  std::mt19937_64 Random(Seed);
  auto UniformBelow = [&Random](int Bound) {
    return static_cast<int>(Random() % static_cast<std::uint64_t>(Bound));
  };
  constexpr int Kinds = 8;
  constexpr int Modes = 5;
  auto Count = Length / MeanFaultInterval;
  for (int I = 0; I < Count; ++I) {
    milliseconds Start(UniformBelow(static_cast<int>(Length.count())));
    milliseconds Duration(MinFaultMs + UniformBelow(MaxFaultMs - MinFaultMs));
    auto Kind = static_cast<fault_kind>(UniformBelow(Kinds));
    auto Mode = static_cast<link_mode>(1 + UniformBelow(Modes));
    bool AtRunner = Kind == fault_kind::PauseRunner ||
                    Kind == fault_kind::KillRunner ||
                    Kind == fault_kind::RunnerLink;
    Faults.emplace_back(Start, Duration, Kind,
                        UniformBelow(AtRunner ? Runners : Gateways), Mode);
  }
  // Drawn by a generator of their own, so that a seed's other faults stay as
  // they were before this kind existed.
  std::mt19937_64 DropRandom(~Seed);
  for (int I = 0; I < ReadDrops; ++I) {
    milliseconds Start(static_cast<int>(
        DropRandom() % static_cast<std::uint64_t>(Length.count())));
    Faults.emplace_back(Start, milliseconds(0), fault_kind::DropReads, 0,
                        link_mode::Pass);
  }
  std::mt19937_64 NoticeRandom(Seed + NoticeSeed);
  for (auto Kind : {fault_kind::LimitRunner, fault_kind::LimitRunner,
                    fault_kind::LeaveRunner, fault_kind::RefuseRequests}) {
    milliseconds Start(static_cast<int>(
        NoticeRandom() % static_cast<std::uint64_t>(Length.count())));
    int Target =
        static_cast<int>(NoticeRandom() % static_cast<std::uint64_t>(Runners));
    Faults.emplace_back(Start, lengthOf(Kind), Kind, Target, link_mode::Pass);
  }
  std::mt19937_64 RestoreRandom(Seed + RestoreSeed);
  auto Restores = RestoreRandom() % MaxRestores + 1;
  for (std::uint64_t I = 0; I < Restores; ++I) {
    milliseconds Start(static_cast<int>(
        RestoreRandom() % static_cast<std::uint64_t>(Length.count())));
    Faults.emplace_back(Start, lengthOf(fault_kind::RestoreStore),
                        fault_kind::RestoreStore, 0, link_mode::Pass);
  }
  std::sort(Faults.begin(), Faults.end());
}
