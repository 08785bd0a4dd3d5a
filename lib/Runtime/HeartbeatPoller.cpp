#include "HeartbeatPoller.h"
#include "absl/strings/str_cat.h"

using namespace bluebellkeel;

void heartbeat_poller::run() {
  auto List = Instances.list();
  std::set<instance_id> Listed;
  for (const auto &Record : *List)
    Listed.insert(Record.id());
  Peers.removeUnlisted(Listed);
  auto Selected = Instances.peers();
  for (const auto &Peer : *Selected) {
    monotonic_time RequestedAt = Clock.monotonicNow();
    Link.sendQuery(Peer, heartbeat_query(),
                   [this, RequestedAt](std::optional<peer_body> Answer) {
                     if (Answer)
                       handleAnswer(*Answer, RequestedAt);
                   });
  }
}

void heartbeat_poller::handleAnswer(const peer_body &Answer,
                                    monotonic_time RequestedAt) {
  const auto *Heartbeat = std::get_if<heartbeat_answer>(&Answer);
  if (!Heartbeat)
    return;
  Peers.recordAnswer(Heartbeat->senderHeartbeat(), RequestedAt);
  // A restarted process counts its ratings from zero, so its counts have their
  // own origin.
  instance_id Origin(absl::StrCat(Heartbeat->senderHeartbeat().from().text(),
                                  "/",
                                  Heartbeat->senderHeartbeat().incarnation()));
  for (const auto &[Version, Counts] : Heartbeat->ratings())
    Quality.merge(Origin, Version, Counts);
}
