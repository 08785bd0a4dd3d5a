#ifndef BLUEBELLKEEL_RELAY_RETRYBUDGET_H
#define BLUEBELLKEEL_RELAY_RETRYBUDGET_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include <algorithm>

namespace bluebellkeel {

/// Limits retries to a fixed fraction of requests, so that they cannot cause a
/// retry storm.
class retry_budget {
public:
  /// Average number of retries per request.
  static constexpr double Ratio = 0.1;
  /// Maximum number of unused retries that accumulate.
  static constexpr double MaxBalance = 10;

  /// Credits the budget for one request.
  void earn() {
    absl::MutexLock Lock(&Mutex);
    Balance = std::min(MaxBalance, Balance + Ratio);
  }

  /// Takes one retry from the budget. Returns false if less than one is left.
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
