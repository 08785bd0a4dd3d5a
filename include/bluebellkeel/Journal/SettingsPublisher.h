#ifndef BLUEBELLKEEL_JOURNAL_SETTINGSPUBLISHER_H
#define BLUEBELLKEEL_JOURNAL_SETTINGSPUBLISHER_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Journal/BatchQueue.h"
#include "bluebellkeel/Journal/SettingsLog.h"
#include <functional>

namespace bluebellkeel {

/// Appends operators' changes to the settings stream from one thread.
class settings_publisher {
public:
  using callback = std::function<void(tl::expected<log_offset, journal_error>)>;

  static constexpr std::size_t MaxWaiting = 256;

  explicit settings_publisher(settings_log &Log)
      : Log(Log), Queue(MaxWaiting) {}

  /// Queues \p Change. Calls \p Done once with the offset of the change in the
  /// log, or with an error. A successful append does not mean that the change
  /// is accepted.
  void publish(const settings_change &Change, callback Done);

  /// Appends one change; waits at most \p Wait for it.
  void publishOnce(milliseconds Wait);

  /// Calls publishOnce until stop(). Changes that are still queued then are
  /// dropped without a callback.
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
