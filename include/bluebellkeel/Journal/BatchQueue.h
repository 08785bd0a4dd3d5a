#ifndef BLUEBELLKEEL_JOURNAL_BATCHQUEUE_H
#define BLUEBELLKEEL_JOURNAL_BATCHQUEUE_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include <cstddef>
#include <deque>
#include <vector>

namespace bluebellkeel {

/// A bounded queue that one thread empties in batches. Safe to use from any
/// thread.
template <typename item_t> class batch_queue {
public:
  explicit batch_queue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Returns false, and drops \p Item, when the queue is full or closed.
  bool push(item_t Item) {
    absl::MutexLock Lock(&Mutex);
    if (Closed || Items.size() >= Capacity)
      return false;
    Items.push_back(std::move(Item));
    return true;
  }

  /// Returns taken items to the front of the queue, even past its capacity.
  void pushFront(std::vector<item_t> Returned) {
    absl::MutexLock Lock(&Mutex);
    Items.insert(Items.begin(), std::make_move_iterator(Returned.begin()),
                 std::make_move_iterator(Returned.end()));
  }

  /// Waits until there is an item, the queue is closed, or \p Wait has passed;
  /// then takes up to \p Max items.
  std::vector<item_t> take(std::size_t Max, absl::Duration Wait) {
    absl::MutexLock Lock(&Mutex);
    Mutex.AwaitWithTimeout(
        absl::Condition(this, &batch_queue::hasItemsOrClosed), Wait);
    std::vector<item_t> Batch;
    while (!Items.empty() && Batch.size() < Max) {
      Batch.push_back(std::move(Items.front()));
      Items.pop_front();
    }
    return Batch;
  }

  /// Waits for \p Time, or until the queue is closed.
  void sleepFor(absl::Duration Time) const {
    absl::MutexLock Lock(&Mutex);
    Mutex.AwaitWithTimeout(absl::Condition(&Closed), Time);
  }

  /// Refuses further items and wakes waiting threads.
  void close() {
    absl::MutexLock Lock(&Mutex);
    Closed = true;
  }

  bool closed() const {
    absl::MutexLock Lock(&Mutex);
    return Closed;
  }

  std::size_t size() const {
    absl::MutexLock Lock(&Mutex);
    return Items.size();
  }

private:
  bool hasItemsOrClosed() const ABSL_SHARED_LOCKS_REQUIRED(Mutex) {
    return Closed || !Items.empty();
  }

  const std::size_t Capacity;
  mutable absl::Mutex Mutex;
  std::deque<item_t> Items ABSL_GUARDED_BY(Mutex);
  bool Closed ABSL_GUARDED_BY(Mutex) = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_BATCHQUEUE_H
