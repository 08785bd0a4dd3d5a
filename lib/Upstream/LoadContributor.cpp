#include "bluebellkeel/Upstream/LoadContributor.h"
#include <algorithm>

using namespace bluebellkeel;

std::optional<load_contribution>
load_contributor::take(milliseconds Unchanged) {
  std::vector<instance_load> Own = Loads.localLoads();
  monotonic_time Now = Clock.monotonicNow();
  absl::MutexLock Lock(&Mutex);
  if (!Kept.empty() && Now - Kept.back().At < Unchanged &&
      Kept.back().Contribution.loads() == Own)
    return std::nullopt;
  load_contribution Contribution(Self, ++LastNumber, milliseconds(0),
                                 std::move(Own));
  Kept.push_back({Now, Contribution});
  if (Kept.size() > MaxKept)
    Kept.pop_front();
  return Contribution;
}

bool load_contributor::apply(const load_board &Board, std::size_t Senders) {
  std::optional<taken> Own;
  {
    absl::MutexLock Lock(&Mutex);
    if (Board.includedNumber() < LastIncluded)
      return false;
    auto Found =
        std::find_if(Kept.begin(), Kept.end(), [&](const taken &Taken) {
          return Taken.Contribution.number() == Board.includedNumber();
        });
    if (Found == Kept.end() ||
        Clock.monotonicNow() - Found->At > load_tracker::BoardLifetime)
      return false;
    Own = *Found;
    LastIncluded = Board.includedNumber();
    BoardAt = Own->At;
    Contributors = Board.contributors();
  }
  Loads.noteBoard(Board, Own->Contribution.loads(), Own->At,
                  Board.contributors() >= Senders);
  return true;
}

std::optional<milliseconds> load_contributor::boardAge() const {
  absl::MutexLock Lock(&Mutex);
  if (!BoardAt)
    return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(Clock.monotonicNow() -
                                                  *BoardAt);
}

std::uint64_t load_contributor::contributors() const {
  absl::MutexLock Lock(&Mutex);
  return Contributors;
}
