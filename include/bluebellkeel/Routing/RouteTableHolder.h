#ifndef BLUEBELLKEEL_ROUTING_ROUTETABLEHOLDER_H
#define BLUEBELLKEEL_ROUTING_ROUTETABLEHOLDER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Routing/RouteTable.h"
#include <memory>

namespace bluebellkeel {

/// The configuration in force. It never goes back within a process's life.
class route_table_holder {
public:
  /// Null before the first configuration is known.
  std::shared_ptr<const route_table> current() const {
    absl::MutexLock Lock(&Mutex);
    return Table;
  }

  /// Puts \p Newer in force; false when a version as new is already.
  bool adopt(route_table Newer) {
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
