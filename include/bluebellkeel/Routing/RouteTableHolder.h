#ifndef BLUEBELLKEEL_ROUTING_ROUTETABLEHOLDER_H
#define BLUEBELLKEEL_ROUTING_ROUTETABLEHOLDER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Routing/RouteTable.h"
#include <memory>

namespace bluebellkeel {

/// Holds the current configuration. Its version never decreases while the
/// process runs.
class route_table_holder {
public:
  /// Returns the current configuration; null before the first one is set.
  std::shared_ptr<const route_table> current() const {
    absl::MutexLock Lock(&Mutex);
    return Table;
  }

  /// Makes \p Newer the current configuration. Returns false if the current
  /// version is the same or newer.
  bool replaceIfNewer(route_table Newer) {
    auto Shared = std::make_shared<const route_table>(std::move(Newer));
    absl::MutexLock Lock(&Mutex);
    if (Table && Shared->version() <= Table->version())
      return false;
    Table = std::move(Shared);
    return true;
  }

private:
  mutable absl::Mutex Mutex;
  std::shared_ptr<const route_table> Table ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_ROUTETABLEHOLDER_H
