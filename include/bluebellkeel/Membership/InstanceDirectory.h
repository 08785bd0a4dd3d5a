#ifndef BLUEBELLKEEL_MEMBERSHIP_INSTANCEDIRECTORY_H
#define BLUEBELLKEEL_MEMBERSHIP_INSTANCEDIRECTORY_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include <memory>
#include <vector>

namespace bluebellkeel {

/// The platform's list of entry instances as it was last read.
class instance_directory {
public:
  using record_list = std::vector<instance_record>;
  using list_ptr = std::shared_ptr<const record_list>;

  instance_directory() : List(std::make_shared<const record_list>()) {}

  void replace(record_list Records) {
    auto Next = std::make_shared<const record_list>(std::move(Records));
    absl::MutexLock Lock(&Mutex);
    List = std::move(Next);
  }

  list_ptr list() const {
    absl::MutexLock Lock(&Mutex);
    return List;
  }

private:
  mutable absl::Mutex Mutex;
  list_ptr List ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_INSTANCEDIRECTORY_H
