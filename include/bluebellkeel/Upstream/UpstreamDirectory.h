#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMDIRECTORY_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMDIRECTORY_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Upstream/UpstreamList.h"
#include <memory>

namespace bluebellkeel {

/// The most recently read version of the platform's list of upstreams.
class upstream_directory {
public:
  using list_ptr = std::shared_ptr<const upstream_list>;

  upstream_directory() : List(std::make_shared<const upstream_list>()) {}

  void replace(upstream_list::record_list Records) {
    auto Next = std::make_shared<const upstream_list>(std::move(Records));
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

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMDIRECTORY_H
