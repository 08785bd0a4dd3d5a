#ifndef BLUEBELLKEEL_MEMBERSHIP_INSTANCEDIRECTORY_H
#define BLUEBELLKEEL_MEMBERSHIP_INSTANCEDIRECTORY_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include "bluebellkeel/Membership/PeerSelector.h"
#include <memory>
#include <vector>

namespace bluebellkeel {

/// The platform's list of entry instances as last read, and the peers that this
/// instance asks for heartbeats. Thread-safe.
class instance_directory {
public:
  using record_list = std::vector<instance_record>;
  using list_ptr = std::shared_ptr<const record_list>;

  explicit instance_directory(instance_id Self)
      : Self(std::move(Self)), List(std::make_shared<const record_list>()),
        Peers(List) {}

  void replace(record_list Records) {
    auto Selected =
        std::make_shared<const record_list>(selectPeers(Self, Records));
    auto Next = std::make_shared<const record_list>(std::move(Records));
    absl::MutexLock Lock(&Mutex);
    List = std::move(Next);
    Peers = std::move(Selected);
  }

  list_ptr list() const {
    absl::MutexLock Lock(&Mutex);
    return List;
  }

  /// Returns the selected peers, computed once for each list.
  list_ptr peers() const {
    absl::MutexLock Lock(&Mutex);
    return Peers;
  }

private:
  const instance_id Self;
  mutable absl::Mutex Mutex;
  list_ptr List ABSL_GUARDED_BY(Mutex);
  list_ptr Peers ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_INSTANCEDIRECTORY_H
