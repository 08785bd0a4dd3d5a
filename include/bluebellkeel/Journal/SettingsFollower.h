#ifndef BLUEBELLKEEL_JOURNAL_SETTINGSFOLLOWER_H
#define BLUEBELLKEEL_JOURNAL_SETTINGSFOLLOWER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/SettingsLog.h"
#include "bluebellkeel/Settings/SettingsStore.h"
#include <optional>

namespace bluebellkeel {

/// Follows the settings stream into a store, and writes a snapshot before
/// retention drops what the state was made from.
class settings_follower {
public:
  settings_follower(settings_log &Log, settings_store &Store,
                    const time_source &Clock);

  /// Reads what is new. True when the store has reached the head of the log.
  bool pollOnce();

  /// Appends a snapshot when none was seen for \p Interval, or when retention
  /// has passed what the last one reaches back to. True when it was appended.
  bool snapshotIfDue(seconds Interval);

  /// When the store was last known to have reached the head of the log.
  std::optional<monotonic_time> lastCaughtUp() const;

private:
  bool applyPage(const log_page<settings_record> &Page);
  bool startFromSnapshot(const log_page<settings_record> &Page);
  void applyRecord(const log_record<settings_record> &Record);

  settings_log &Log;
  settings_store &Store;
  const time_source &Clock;
  mutable absl::Mutex Mutex;
  std::optional<monotonic_time> CaughtUp ABSL_GUARDED_BY(Mutex);
  monotonic_time LastSnapshotAt ABSL_GUARDED_BY(Mutex);
  log_offset SnapshotOffset ABSL_GUARDED_BY(Mutex);
  log_offset FirstRetained ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_SETTINGSFOLLOWER_H
