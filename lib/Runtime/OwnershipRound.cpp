#include "OwnershipRound.h"

using namespace bluebellkeel;

ownership_round::record_list ownership_round::workOut() {
  auto NewList = Upstreams.list();
  auto NewCandidates = Owners.candidates();
  bool Same = List && *NewList == *List && NewCandidates == Candidates;
  if (!Same)
    Known = Owners.ownedOf(NewList->records(), NewCandidates);
  List = std::move(NewList);
  Candidates = std::move(NewCandidates);
  return Known;
}

void ownership_round::run() {
  record_list Now;
  bool InTouch = Owners.inTouch();
  {
    absl::MutexLock Lock(&Mutex);
    if (InTouch)
      Now = workOut();
    Owned = Now;
  }
  Issuer.setOwned(Now, Clock.monotonicNow());
}

ownership_round::record_list ownership_round::owned() const {
  absl::MutexLock Lock(&Mutex);
  return Owned;
}
