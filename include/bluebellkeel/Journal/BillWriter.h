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

/// Appends bills to the log in batches. While the log is down, holds a bounded
/// number of bills and replicates each to a peer.
class bill_writer {
public:
  using bill_log = record_log<bill>;
  using callback = std::function<void(tl::expected<void, journal_error>)>;

  static constexpr std::size_t MaxHeld = 16384;
  static constexpr std::size_t MaxBatch = 512;

  bill_writer(bill_log &Log, bill_replicator &Replicator,
              const time_source &Clock, milliseconds AppendInterval);

  /// Queues \p Bill. Calls \p Done once, when the bill is durable or cannot be
  /// made durable. The last byte of the caller's response is sent only after
  /// that.
  void submit(const bill &Bill, callback Done);

  /// Queues bills replicated by a peer, which are not replicated again. Returns
  /// false when the queue is full or closed; the bills before that point stay
  /// queued.
  bool enqueueReplicated(const std::vector<bill> &Bills);

  void setAppendInterval(milliseconds Interval) { Pacer.setInterval(Interval); }

  bool hasCapacity() const { return held() < MaxHeld; }
  std::size_t held() const { return Queue.size() + HeldCount; }

  /// Takes new bills from the queue, waiting at most \p Wait for the first, and
  /// appends one batch. While the log is down, replicates new bills to a peer
  /// at once and retries the log after a backoff.
  void commitOnce(milliseconds Wait);

  /// Calls commitOnce until stop() was called and no bill is held, or until the
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
  /// Bills taken from the queue but not yet in the log. Used only by the
  /// appending thread.
  std::vector<work_item> Held;
  std::atomic<std::size_t> HeldCount{0};
  std::atomic<bool> LogFailed{false};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_BILLWRITER_H
