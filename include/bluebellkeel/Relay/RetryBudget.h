#ifndef BLUEBELLKEEL_RELAY_RETRYBUDGET_H
#define BLUEBELLKEEL_RELAY_RETRYBUDGET_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include <algorithm>

namespace bluebellkeel {

/// Keeps retries at a stated share of requests, so that they never add up to a
/// storm.
class retry_budget {
public:
  /// Retries for each request, on the average.
  static constexpr double Ratio = 0.1;
  /// Retries that may be saved up.
  static constexpr double MaxBalance = 10;

  /// A request came in.
  void earn() {
    absl::MutexLock Lock(&Mutex);
    Balance = std::min(MaxBalance, Balance + Ratio);
  }

  /// True when a retry may be made.
  bool spend() {
    absl::MutexLock Lock(&Mutex);
    if (Balance < 1)
      return false;
    Balance -= 1;
    return true;
  }

private:
  absl::Mutex Mutex;
  double Balance ABSL_GUARDED_BY(Mutex) = MaxBalance;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_RETRYBUDGET_H
