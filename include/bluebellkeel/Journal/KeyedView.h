#ifndef BLUEBELLKEEL_JOURNAL_KEYEDVIEW_H
#define BLUEBELLKEEL_JOURNAL_KEYEDVIEW_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Journal/KeyedListener.h"
#include "bluebellkeel/Journal/KeyedPage.h"
#include <map>
#include <optional>

namespace bluebellkeel {

/// The newest record of each key of one topic, from the log or from peers.
/// Records older than the known ones have no effect. Thread-safe.
class keyed_view {
public:
  /// Time for which records stay in force that a restored log lacks or holds in
  /// an older form: what was lost is soon written again.
  static constexpr milliseconds RestoreGrace{2000};

  explicit keyed_view(keyed_listener &Listener) : Listener(Listener) {}

  /// Applies the records of \p Page that are newer than the known ones and
  /// advances end() to the end of the page. A page with all keys replaces the
  /// view.
  void apply(const keyed_page &Page);
  /// Applies the newest record of every key and deletes known keys that \p Page
  /// lacks, unless their record is newer than the page.
  void replace(const keyed_page &Page);

  /// Passes on to the listener what a restored log changed RestoreGrace ago and
  /// nothing has replaced since. To be called regularly.
  void settle(monotonic_time Now);

  /// Returns the position up to which the view is complete.
  log_position end() const;
  /// Returns the records newer than \p After, ordered by position, including
  /// those of deleted keys; all records if some of these deletions are unknown.
  keyed_page since(log_position After) const;
  /// Returns the newest record of \p Key, which may be a deletion; empty if
  /// there is none.
  std::optional<keyed_record> find(const std::string &Key) const;

private:
  /// A record of a restored log that is not passed on yet.
  struct held_record {
    keyed_record Record;
    /// The value that the listener received last.
    std::string InForce;
    /// Time of the first settle() since the record came.
    std::optional<monotonic_time> Since;
  };

  void applyRecords(const keyed_page &Page);
  void passOn(const keyed_record &Record, const std::string &Before,
              bool Restored) ABSL_EXCLUSIVE_LOCKS_REQUIRED(NotifyMutex);
  bool insertIfNewer(const keyed_record &Record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  keyed_listener &Listener;
  /// Held while the listener is called, so that records reach it in order.
  absl::Mutex NotifyMutex ABSL_ACQUIRED_BEFORE(Mutex);
  std::map<std::string, held_record> Held ABSL_GUARDED_BY(NotifyMutex);
  mutable absl::Mutex Mutex;
  std::map<std::string, keyed_record> Records ABSL_GUARDED_BY(Mutex);
  log_position End ABSL_GUARDED_BY(Mutex);
  /// Position after which every deletion is known. A page with all keys does
  /// not tell which keys were deleted before its end.
  log_position DeletionsKnownAfter ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDVIEW_H
