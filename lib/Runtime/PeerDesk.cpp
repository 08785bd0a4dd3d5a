#include "PeerDesk.h"

using namespace bluebellkeel;

peer_body peer_desk::beat() const {
  // The age is taken first: what is applied after it is newer, never older.
  auto Age = Serving.settingsAge();
  heartbeat Beat(Self, Incarnation, Serving.serving(),
                 Settings.state()->applied(), Age);
  heartbeat_answer::rating_map Ratings;
  for (const auto &[Version, Counts] : Quality.ownTotals())
    Ratings[Version] = Counts;
  return heartbeat_answer(Beat, std::move(Ratings));
}

peer_body peer_desk::grantsFor(const grant_ask &Ask) {
  std::vector<grant> Grants;
  for (const auto &Request : Ask.requests()) {
    auto Grant = Issuer.issue(Request, Clock.monotonicNow());
    if (Grant)
      Grants.push_back(*Grant);
  }
  return grant_reply(std::move(Grants));
}

std::optional<peer_body> peer_desk::answer(const instance_id & /*From*/,
                                           const peer_body &Body) {
  if (std::holds_alternative<heartbeat_query>(Body))
    return beat();
  if (const auto *Ask = std::get_if<grant_ask>(&Body))
    return grantsFor(*Ask);
  if (const auto *Copy = std::get_if<bill_copy>(&Body))
    return bill_copy_ack(Bills.adopt(Copy->bills()));
  if (std::holds_alternative<state_query>(Body))
    return state_answer(*Settings.state());
  if (const auto *Notice = std::get_if<crash_notice>(&Body))
    Crashes.notePeerCrash(Notice->request(), Notice->upstream());
  return std::nullopt;
}
