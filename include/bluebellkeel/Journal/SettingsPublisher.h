#ifndef BLUEBELLKEEL_JOURNAL_SETTINGSPUBLISHER_H
#define BLUEBELLKEEL_JOURNAL_SETTINGSPUBLISHER_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Journal/BatchQueue.h"
#include "bluebellkeel/Journal/SettingsLog.h"
#include <functional>

namespace bluebellkeel {

/// Appends operators' changes to the settings stream, one thread for all.
class settings_publisher {
public:
  using callback = std::function<void(tl::expected<log_offset, journal_error>)>;

  static constexpr std::size_t MaxWaiting = 256;

  explicit settings_publisher(settings_log &Log)
      : Log(Log), Queue(MaxWaiting) {}

  /// \p Done is called once with where the change stands in the log. Being
  /// there says nothing of the verdict.
  void publish(const settings_change &Change, callback Done);

  /// Appends one change; waits at most \p Wait for one.
  void publishOnce(milliseconds Wait);

  /// Calls publishOnce until stop().
  void run();
  void stop() { Queue.close(); }

private:
  struct work_item {
    settings_change Change;
    callback Done;
  };

  settings_log &Log;
  batch_queue<work_item> Queue;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_SETTINGSPUBLISHER_H
