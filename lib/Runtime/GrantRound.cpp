#include "GrantRound.h"
#include "bluebellkeel/Peer/GrantAsk.h"
#include <map>

using namespace bluebellkeel;

void grant_round::run() {
  std::map<instance_record, std::vector<grant_request>> ByOwner;
  for (const auto &Request : Grants.requests()) {
    auto Owner = Owners.ownerOf(Request.upstream());
    if (Owner)
      ByOwner[*Owner].push_back(Request);
  }
  for (const auto &[Owner, Requests] : ByOwner) {
    if (Owner.id() == Self)
      askSelf(Requests);
    else
      askPeer(Owner, Requests);
  }
}

void grant_round::askSelf(const std::vector<grant_request> &Requests) {
  for (const auto &Request : Requests) {
    monotonic_time Now = Clock.monotonicNow();
    auto Grant = Issuer.issue(Request, Now);
    if (Grant)
      Grants.noteGrant(*Grant, Now);
  }
}

void grant_round::askPeer(const instance_record &Owner,
                          const std::vector<grant_request> &Requests) {
  monotonic_time SentAt = Clock.monotonicNow();
  Link.ask(Owner, grant_ask(Requests),
           [this, SentAt](std::optional<peer_body> Answer) {
             const auto *Reply =
                 Answer ? std::get_if<grant_reply>(&*Answer) : nullptr;
             if (!Reply)
               return;
             for (const auto &Grant : Reply->grants())
               Grants.noteGrant(Grant, SentAt);
           });
}
