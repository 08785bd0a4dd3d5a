#include "HeartbeatRound.h"
#include "absl/strings/str_cat.h"

using namespace bluebellkeel;

void heartbeat_round::run() {
  auto List = Instances.list();
  std::set<instance_id> Listed;
  for (const auto &Record : *List)
    Listed.insert(Record.id());
  Peers.keepOnly(Listed);
  auto Selected = Instances.peers();
  for (const auto &Peer : *Selected) {
    monotonic_time AskedAt = Clock.monotonicNow();
    Link.sendQuery(Peer, heartbeat_query(),
                   [this, AskedAt](std::optional<peer_body> Answer) {
                     if (Answer)
                       take(*Answer, AskedAt);
                   });
  }
}

void heartbeat_round::take(const peer_body &Answer, monotonic_time AskedAt) {
  const auto *Beat = std::get_if<heartbeat_answer>(&Answer);
  if (!Beat)
    return;
  Peers.recordAnswer(Beat->beat(), AskedAt);
  // Each start of a process counts its ratings anew.
  instance_id Origin(absl::StrCat(Beat->beat().from().text(), "/",
                                  Beat->beat().incarnation()));
  for (const auto &[Version, Counts] : Beat->ratings())
    Quality.merge(Origin, Version, Counts);
}
