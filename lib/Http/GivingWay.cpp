#include "GivingWay.h"
#include "MemoryCosts.h"
#include <algorithm>
#include <optional>
#include <tuple>

using namespace bluebellkeel;

/// Pause after which a client counts as stalled; a lost packet that is sent
/// again delays it for less.
static constexpr milliseconds StallTime{1000};

/// Pause after which a response counts as unread while nothing is left.
static constexpr milliseconds UnreadTime{500};

/// A request that has been arriving for less time is probably about to end.
static constexpr milliseconds MinReceiveAge{300};

/// Time for a client to read its last response.
static constexpr milliseconds MinLingerTime{300};

namespace {

/// The place of a connection among those that give way, and what orders it
/// among those of the same place.
using precedence = std::tuple<int, monotonic_time, std::size_t>;

enum place { Answered, Stalled, Waiting, Arriving };

} // namespace

static std::optional<std::pair<place, monotonic_time>>
placeOf(const connection_state &State, shortage Shortage, monotonic_time Now) {
  auto Pause = Now - State.lastProgress();
  auto Age = Now - State.since();
  bool Urgent = Shortage != shortage::Soon;
  auto MinAge =
      Shortage == shortage::ForWholeRequest ? milliseconds(0) : MinReceiveAge;
  switch (State.phase()) {
  case connection_phase::Lingering:
    if (Age >= MinLingerTime)
      return std::pair(place::Answered, State.since());
    break;
  case connection_phase::Receiving:
    if (Pause >= StallTime)
      return std::pair(place::Stalled, State.lastProgress());
    if (Urgent && Age >= MinAge && State.heldBytes() > 0)
      return std::pair(place::Arriving, State.lastProgress());
    break;
  case connection_phase::Sending:
    if (Urgent && Pause >= UnreadTime)
      return std::pair(place::Stalled, State.lastProgress());
    break;
  case connection_phase::Idle:
    return std::pair(place::Waiting, State.since());
  case connection_phase::Serving:
    break;
  }
  return std::nullopt;
}

static room roomOf(const connection_state &State) {
  return room(1, ConnectionBytes + State.heldBytes());
}

/// True if the connection ends soon without being asked, or was asked to.
static bool isPending(const connection_state &State) {
  return State.givesWay() || State.phase() == connection_phase::Lingering;
}

room giving_way::pending(const std::vector<connection_state> &Connections) {
  room Pending;
  for (const auto &State : Connections) {
    if (isPending(State))
      Pending = Pending + roomOf(State);
  }
  return Pending;
}

std::vector<std::size_t>
giving_way::choose(const std::vector<connection_state> &Connections,
                   shortage Shortage, const room &Needed, monotonic_time Now) {
  std::vector<precedence> Candidates;
  for (std::size_t I = 0; I < Connections.size(); ++I) {
    if (Connections[I].givesWay())
      continue;
    if (auto Place = placeOf(Connections[I], Shortage, Now))
      Candidates.emplace_back(Place->first, Place->second, I);
  }
  std::sort(Candidates.begin(), Candidates.end());
  room Freed = pending(Connections);
  std::vector<std::size_t> Chosen;
  for (const auto &[Place, Time, Position] : Candidates) {
    bool EndsAnyway = isPending(Connections[Position]);
    if (!EndsAnyway && Freed.covers(Needed))
      break;
    if (!EndsAnyway)
      Freed = Freed + roomOf(Connections[Position]);
    Chosen.push_back(Position);
  }
  return Chosen;
}
