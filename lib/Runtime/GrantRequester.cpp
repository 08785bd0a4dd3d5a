#include "GrantRequester.h"
#include "bluebellkeel/Peer/GrantAsk.h"
#include <map>

using namespace bluebellkeel;

void grant_requester::run() {
  auto Wanted = Grants.requests();
  if (Wanted.empty())
    return;
  std::map<instance_id, std::vector<grant_request>> ByOwner;
  auto Candidates = Owners.candidates();
  for (const auto &Request : Wanted) {
    auto Owner = ownerOf(Request.upstream().text(), Candidates);
    if (Owner)
      ByOwner[*Owner].push_back(Request);
  }
  for (const auto &[Owner, Requests] : ByOwner) {
    auto Record = Owners.recordOf(Owner);
    if (Owner == Self)
      askSelf(Requests);
    else if (Record)
      askPeer(*Record, Requests);
  }
}

void grant_requester::askSelf(const std::vector<grant_request> &Requests) {
  for (const auto &Request : Requests) {
    monotonic_time Now = Clock.monotonicNow();
    auto Grant = Issuer.issue(Request, Now);
    if (Grant)
      Grants.noteGrant(*Grant, Now);
  }
}

void grant_requester::askPeer(const instance_record &Owner,
                              const std::vector<grant_request> &Requests) {
  monotonic_time SentAt = Clock.monotonicNow();
  Link.sendQuery(Owner, grant_ask(Requests),
                 [this, SentAt](std::optional<peer_body> Answer) {
                   const auto *Reply =
                       Answer ? std::get_if<grant_reply>(&*Answer) : nullptr;
                   if (!Reply)
                     return;
                   for (const auto &Grant : Reply->grants())
                     Grants.noteGrant(Grant, SentAt);
                 });
}
