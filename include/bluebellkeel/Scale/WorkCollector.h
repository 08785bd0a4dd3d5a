#ifndef BLUEBELLKEEL_SCALE_WORKCOLLECTOR_H
#define BLUEBELLKEEL_SCALE_WORKCOLLECTOR_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Scale/KnownWork.h"
#include "bluebellkeel/Scale/ServiceWork.h"
#include <vector>

namespace bluebellkeel {

/// Adds up the work of all instances, of which each message replaces the one
/// before. Bounded by the instances heard of in ShareLifetime. Thread-safe.
class work_collector {
public:
  /// Time for which an instance's share is used.
  static constexpr milliseconds ShareLifetime{4000};

  explicit work_collector(const time_source &Clock) : Clock(Clock) {}

  void merge(const instance_id &Instance, std::vector<service_work> Work);
  known_work workOf(const service_id &Service) const;

private:
  struct share {
    std::vector<service_work> Work;
    monotonic_time At;
  };

  const time_source &Clock;
  mutable absl::Mutex Mutex;
  std::map<instance_id, share> Shares ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_WORKCOLLECTOR_H
