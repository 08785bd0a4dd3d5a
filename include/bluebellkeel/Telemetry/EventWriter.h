#ifndef BLUEBELLKEEL_TELEMETRY_EVENTWRITER_H
#define BLUEBELLKEEL_TELEMETRY_EVENTWRITER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/EventLog.h"
#include "bluebellkeel/Core/TimeSource.h"
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace bluebellkeel {

/// Writes the structured log to standard output on its own thread. If the
/// reader of standard output stops reading, lines are dropped; requests never
/// wait for it.
class event_writer final : public event_log {
public:
  /// Maximum number of lines in the queue, and of their bytes; further lines
  /// are dropped.
  static constexpr std::size_t MaxQueuedLines = 4096;
  static constexpr std::size_t MaxQueuedBytes = 2UL * 1024 * 1024;

  /// \param Instance the instance name that is added to each line.
  event_writer(std::string Instance, const time_source &Clock);
  /// Writes the queued lines and joins the thread.
  ~event_writer() override;

  void write(const event_line &Line) override;
  /// Waits until all queued lines are written, for at most \p Limit.
  void flush(milliseconds Limit) const;
  /// Returns the number of lines dropped so far.
  std::uint64_t droppedLines() const;

private:
  void run();
  bool isIdle() const ABSL_SHARED_LOCKS_REQUIRED(Mutex) {
    return QueuedLines.empty() && !Writing;
  }
  bool hasWork() const ABSL_SHARED_LOCKS_REQUIRED(Mutex) {
    return !QueuedLines.empty() || Stopped;
  }

  const std::string Instance;
  const time_source &Clock;
  mutable absl::Mutex Mutex;
  std::vector<std::string> QueuedLines ABSL_GUARDED_BY(Mutex);
  std::size_t QueuedBytes ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t DroppedLines ABSL_GUARDED_BY(Mutex) = 0;
  /// True while the thread writes lines that it has taken from the queue.
  bool Writing ABSL_GUARDED_BY(Mutex) = false;
  bool Stopped ABSL_GUARDED_BY(Mutex) = false;
  std::thread Thread;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_TELEMETRY_EVENTWRITER_H
