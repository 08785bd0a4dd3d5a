#ifndef BLUEBELLKEEL_CORE_GUARDEDVALUE_H
#define BLUEBELLKEEL_CORE_GUARDEDVALUE_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include <utility>

namespace bluebellkeel {

/// A value under its own lock. get() returns a copy; set() replaces the value.
template <typename value_t> class guarded_value {
public:
  explicit guarded_value(value_t Value) : Value(std::move(Value)) {}

  value_t get() const {
    absl::MutexLock Lock(&Mutex);
    return Value;
  }
  /// Runs \p Change on the value under the lock; it must not block.
  template <typename change_t> void update(change_t &&Change) {
    absl::MutexLock Lock(&Mutex);
    Change(Value);
  }
  void set(value_t NewValue) {
    absl::MutexLock Lock(&Mutex);
    Value = std::move(NewValue);
  }

private:
  mutable absl::Mutex Mutex;
  value_t Value ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_GUARDEDVALUE_H
