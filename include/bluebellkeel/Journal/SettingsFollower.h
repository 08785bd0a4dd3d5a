#ifndef BLUEBELLKEEL_JOURNAL_SETTINGSFOLLOWER_H
#define BLUEBELLKEEL_JOURNAL_SETTINGSFOLLOWER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/SettingsLog.h"
#include "bluebellkeel/Settings/SettingsStore.h"
#include <optional>

namespace bluebellkeel {

/// Applies the settings stream to a store, and appends a snapshot before
/// retention drops the changes that make up the state.
class settings_follower {
public:
  settings_follower(settings_log &Log, settings_store &Store,
                    const time_source &Clock);

  /// Reads new records. Returns true if the store has reached the head of the
  /// log.
  bool pollOnce();

  /// Appends a snapshot when none was read for \p Interval, or when retention
  /// has dropped records that follow the last snapshot. Does nothing before the
  /// store has reached the head of the log, or while it has no settings.
  /// Returns true if a snapshot was appended.
  bool snapshotIfDue(seconds Interval);

  /// Returns when the store was last known to have reached the head of the log;
  /// empty if never.
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
