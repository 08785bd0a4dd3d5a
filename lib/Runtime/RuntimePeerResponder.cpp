#include "RuntimePeerResponder.h"

using namespace bluebellkeel;

peer_body runtime_peer_responder::heartbeatAnswer() const {
  // The age is read before the state, so that settings applied in between are
  // newer than the reported age, never older.
  auto Age = Serving.settingsAge();
  heartbeat Heartbeat(Self, Incarnation, Serving.serving(),
                      Settings.state()->applied(), Age);
  heartbeat_answer::rating_map Ratings;
  for (const auto &[Version, Counts] : Quality.localTotals())
    Ratings[Version] = Counts;
  return heartbeat_answer(Heartbeat, std::move(Ratings));
}

peer_body runtime_peer_responder::grantsFor(const grant_ask &Ask) {
  std::vector<grant> Grants;
  for (const auto &Request : Ask.requests()) {
    auto Grant = Issuer.issue(Request, Clock.monotonicNow());
    if (Grant)
      Grants.push_back(*Grant);
  }
  return grant_reply(std::move(Grants));
}

std::optional<peer_body>
runtime_peer_responder::answer(const instance_id & /*From*/,
                               const peer_body &Body) {
  if (std::holds_alternative<heartbeat_query>(Body))
    return heartbeatAnswer();
  if (const auto *Ask = std::get_if<grant_ask>(&Body))
    return grantsFor(*Ask);
  if (const auto *Copy = std::get_if<bill_copy>(&Body))
    return bill_copy_ack(Bills.enqueueReplicated(Copy->bills()));
  if (std::holds_alternative<state_query>(Body))
    return state_answer(*Settings.state());
  if (const auto *Notice = std::get_if<crash_notice>(&Body))
    Crashes.notePeerCrash(
        request_crash(Notice->request(), Notice->upstream(), milliseconds(0)));
  return std::nullopt;
}
