#include "ServerState.h"
#include "absl/time/time.h"

using namespace bluebellkeel;

void server_state::add(
    const std::shared_ptr<interruptible_stream> &Connection) {
  absl::MutexLock Lock(&Mutex);
  Connections.insert(Connection);
  if (ClosingIdle)
    Connection->endWaits();
  if (EndingReads)
    Connection->endReads();
}

void server_state::remove(
    const std::shared_ptr<interruptible_stream> &Connection) {
  absl::MutexLock Lock(&Mutex);
  Connections.erase(Connection);
}

std::size_t server_state::connections() const {
  absl::MutexLock Lock(&Mutex);
  return Connections.size();
}

room server_state::giveWay(shortage Shortage, const room &Needed) {
  absl::MutexLock Lock(&Mutex);
  std::vector<std::shared_ptr<interruptible_stream>> Streams(
      Connections.begin(), Connections.end());
  std::vector<connection_state> States;
  States.reserve(Streams.size());
  for (const auto &Stream : Streams)
    States.push_back(Stream->activity().state());
  for (std::size_t Position : giving_way::choose(
           States, Shortage, Needed, std::chrono::steady_clock::now())) {
    Streams[Position]->giveWay();
    States[Position] = States[Position].givingWay();
  }
  return giving_way::pending(States);
}

void server_state::setListening(bool NewListening) {
  absl::MutexLock Lock(&Mutex);
  Listening = NewListening;
}

void server_state::closeIdle() {
  absl::MutexLock Lock(&Mutex);
  ClosingIdle = true;
  for (const auto &Connection : Connections)
    Connection->endWaits();
}

void server_state::endReads() {
  absl::MutexLock Lock(&Mutex);
  EndingReads = true;
  for (const auto &Connection : Connections)
    Connection->endReads();
}

bool server_state::awaitClosed(milliseconds Limit) const {
  absl::MutexLock Lock(&Mutex);
  Mutex.AwaitWithTimeout(
      absl::Condition(this, &server_state::closedOrWaitEnded),
      absl::FromChrono(Limit));
  return closed();
}

void server_state::beginRequest() {
  absl::MutexLock Lock(&Mutex);
  ++Active;
}

void server_state::endRequest() {
  absl::MutexLock Lock(&Mutex);
  --Active;
}

std::size_t server_state::active() const {
  absl::MutexLock Lock(&Mutex);
  return Active;
}

bool server_state::awaitIdle(milliseconds Limit) const {
  absl::MutexLock Lock(&Mutex);
  Mutex.AwaitWithTimeout(absl::Condition(this, &server_state::idleOrWaitEnded),
                         absl::FromChrono(Limit));
  return Active == 0;
}

void server_state::endWait() {
  absl::MutexLock Lock(&Mutex);
  WaitEnded = true;
}
