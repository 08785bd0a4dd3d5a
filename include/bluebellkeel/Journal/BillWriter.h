#ifndef BLUEBELLKEEL_JOURNAL_BILLWRITER_H
#define BLUEBELLKEEL_JOURNAL_BILLWRITER_H

#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/AppendPacer.h"
#include "bluebellkeel/Journal/BatchQueue.h"
#include "bluebellkeel/Journal/Bill.h"
#include "bluebellkeel/Journal/BillReplicator.h"
#include "bluebellkeel/Journal/RecordLog.h"
#include <atomic>
#include <functional>
#include <memory>

namespace bluebellkeel {

/// Writes bills to the log in groups. While the log is down, it holds a
/// bounded number of them and keeps a copy of each at a peer.
class bill_writer {
public:
  using bill_log = record_log<bill>;
  using callback = std::function<void(tl::expected<void, journal_error>)>;

  static constexpr std::size_t MaxHeld = 16384;
  static constexpr std::size_t MaxBatch = 512;

  bill_writer(bill_log &Log, bill_replicator &Replicator,
              const time_source &Clock, milliseconds AppendInterval);

  /// Takes \p Bill; \p Done is called once, when the bill is durable or when
  /// it cannot be made so. The caller's last byte waits for it.
  void submit(const bill &Bill, callback Done);

  /// Takes bills that a peer handed over. False when there is no room.
  bool adopt(const std::vector<bill> &Bills);

  void setAppendInterval(milliseconds Interval) { Pacer.setInterval(Interval); }

  bool hasCapacity() const { return held() < MaxHeld; }
  std::size_t held() const { return Queue.size() + HeldCount; }

  /// Takes what is new, waiting at most \p Wait for it, and appends one group.
  /// While the log is down, new bills are copied to a peer at once, and the
  /// log is tried again from time to time.
  void commitOnce(milliseconds Wait);

  /// Calls commitOnce until stop() and until nothing is held, or until the
  /// log fails after stop().
  void run();
  void stop() { Queue.close(); }

private:
  struct work_item {
    bill Bill;
    bool Copied;
    std::shared_ptr<callback> Done;
  };

  void drainQueue(milliseconds Wait);
  void appendHeld();
  static void finish(const std::vector<work_item> &Items);
  void replicateUncopied(std::vector<work_item> &Items);

  bill_log &Log;
  bill_replicator &Replicator;
  const time_source &Clock;
  append_pacer Pacer;
  batch_queue<work_item> Queue;
  /// Taken from the queue and not yet in the log; for the appending thread.
  std::vector<work_item> Held;
  std::atomic<std::size_t> HeldCount{0};
  std::atomic<bool> LogFailed{false};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_BILLWRITER_H
