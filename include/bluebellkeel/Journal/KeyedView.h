#ifndef BLUEBELLKEEL_JOURNAL_KEYEDVIEW_H
#define BLUEBELLKEEL_JOURNAL_KEYEDVIEW_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Journal/KeyedListener.h"
#include "bluebellkeel/Journal/KeyedPage.h"
#include <map>
#include <optional>

namespace bluebellkeel {

/// The newest record of each key of one topic, from the log or from peers.
/// Records older than the known ones have no effect. Thread-safe.
class keyed_view {
public:
  explicit keyed_view(keyed_listener &Listener) : Listener(Listener) {}

  /// Applies the records of \p Page that are newer than the known ones and
  /// advances end() to the end of the page. A page with all keys replaces the
  /// view.
  void apply(const keyed_page &Page);
  /// Applies the newest record of every key and deletes known keys that \p Page
  /// lacks, unless their record is newer than the page.
  void replace(const keyed_page &Page);

  /// Returns the position up to which the view is complete.
  log_position end() const;
  /// Returns the records newer than \p After, ordered by position, including
  /// those of deleted keys; all records if some of these deletions are unknown.
  keyed_page since(log_position After) const;
  /// Returns the newest record of \p Key, which may be a deletion; empty if
  /// there is none.
  std::optional<keyed_record> find(const std::string &Key) const;

private:
  void applyRecords(const keyed_page &Page);
  bool insertIfNewer(const keyed_record &Record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  keyed_listener &Listener;
  /// Held while the listener is called, so that records reach it in order.
  absl::Mutex NotifyMutex ABSL_ACQUIRED_BEFORE(Mutex);
  mutable absl::Mutex Mutex;
  std::map<std::string, keyed_record> Records ABSL_GUARDED_BY(Mutex);
  log_position End ABSL_GUARDED_BY(Mutex);
  /// Position after which every deletion is known. A page with all keys does
  /// not tell which keys were deleted before its end.
  log_position DeletionsKnownAfter ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDVIEW_H
