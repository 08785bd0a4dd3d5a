#ifndef BLUEBELLKEEL_DUTY_USAGECOLLECTOR_H
#define BLUEBELLKEEL_DUTY_USAGECOLLECTOR_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Duty/UsageReport.h"
#include <vector>

namespace bluebellkeel {

/// Adds up the counts of all instances, of which each message replaces the one
/// before. Bounded by the windows that the messages hold. Thread-safe.
class usage_collector {
public:
  /// Replaces what is known of the windows in \p Counts from \p Instance.
  /// Counts only grow, so that a message that was overtaken changes nothing.
  void merge(const instance_id &Instance,
             const std::vector<usage_report> &Counts);
  /// Returns the sum over all instances.
  usage_report total(std::uint64_t Window) const;
  /// Returns the number of instances that have reported on \p Window.
  std::size_t instances(std::uint64_t Window) const;
  /// Forgets the windows before \p Window.
  void forgetBefore(std::uint64_t Window);

private:
  using instance_map = std::map<instance_id, usage_report::count_map>;

  mutable absl::Mutex Mutex;
  std::map<std::uint64_t, instance_map> Windows ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_USAGECOLLECTOR_H
