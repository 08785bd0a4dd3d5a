#include "OwnershipUpdater.h"

using namespace bluebellkeel;

ownership_updater::record_list ownership_updater::computeOwned() {
  auto NewList = Upstreams.list();
  auto NewCandidates = Owners.candidates();
  bool Same = List && *NewList == *List && NewCandidates == Candidates;
  if (!Same)
    CachedOwned = Owners.ownedOf(NewList->records(), NewCandidates);
  List = std::move(NewList);
  Candidates = std::move(NewCandidates);
  return CachedOwned;
}

void ownership_updater::run() {
  record_list NewOwned;
  bool ReachesHalfOfPeers = Owners.reachesHalfOfPeers();
  {
    absl::MutexLock Lock(&Mutex);
    if (ReachesHalfOfPeers)
      NewOwned = computeOwned();
    Owned = NewOwned;
  }
  Issuer.setOwned(NewOwned, Clock.monotonicNow());
}

ownership_updater::record_list ownership_updater::owned() const {
  absl::MutexLock Lock(&Mutex);
  return Owned;
}
