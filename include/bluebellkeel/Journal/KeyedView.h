#ifndef BLUEBELLKEEL_JOURNAL_KEYEDVIEW_H
#define BLUEBELLKEEL_JOURNAL_KEYEDVIEW_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Journal/KeyedListener.h"
#include "bluebellkeel/Journal/KeyedPage.h"
#include <map>
#include <optional>

namespace bluebellkeel {

/// The newest record of each key of one topic, from the log or from peers;
/// what is older than what is known changes nothing.
class keyed_view {
public:
  explicit keyed_view(keyed_listener &Listener) : Listener(Listener) {}

  /// Takes records that follow what was known up to a point.
  void apply(const keyed_page &Page);
  /// Takes the newest record of every key; keys that are missing are dropped.
  void replace(const keyed_page &Page);

  /// The offset up to which everything is known.
  log_offset end() const;
  /// All newer than \p After, dropped keys among them.
  keyed_page since(log_offset After) const;
  std::optional<keyed_record> find(const std::string &Key) const;

private:
  bool insertIfNewer(const keyed_record &Record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  keyed_listener &Listener;
  /// Held while listeners are told, so that they are told in order.
  absl::Mutex NotifyMutex ABSL_ACQUIRED_BEFORE(Mutex);
  mutable absl::Mutex Mutex;
  std::map<std::string, keyed_record> Records ABSL_GUARDED_BY(Mutex);
  log_offset End ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDVIEW_H
