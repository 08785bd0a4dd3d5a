#ifndef BLUEBELLKEEL_JOURNAL_CLAIMCOORDINATOR_H
#define BLUEBELLKEEL_JOURNAL_CLAIMCOORDINATOR_H

#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/AppendPacer.h"
#include "bluebellkeel/Journal/BatchQueue.h"
#include "bluebellkeel/Journal/ClaimEntry.h"
#include "bluebellkeel/Journal/ClaimTable.h"
#include "bluebellkeel/Journal/ClaimVerdict.h"
#include "bluebellkeel/Journal/RecordLog.h"
#include "bluebellkeel/Journal/Ticket.h"
#include <atomic>
#include <functional>
#include <optional>

namespace bluebellkeel {

/// Appends claims to the log in batches and reads them back. An attempt is
/// granted only if its claim is read back as the first of its ticket. The order
/// in the log decides, so an instance that was paused while it held a ticket
/// causes no second run.
class claim_coordinator {
public:
  using claim_log = record_log<claim_entry>;
  using callback = std::function<void(const claim_verdict &)>;

  static constexpr std::size_t MaxWaiting = 4096;
  static constexpr std::size_t MaxBatch = 256;

  /// \p ClaimTimeout is how long a claim waits for the log. \p AppendInterval
  /// is the average time between two appends.
  claim_coordinator(claim_log &Log, const time_source &Clock,
                    milliseconds ClaimTimeout, milliseconds AppendInterval);

  /// Queues a claim. Calls \p Done once: from the thread of run(), or at once
  /// when the queue is full or closed.
  void claim(const ticket &Ticket, const std::string &AttemptId, callback Done);
  /// Queues the release of a ticket by an attempt that was never dispatched.
  /// The entry is lost when the queue is full or closed.
  void release(const std::string &TicketId, const std::string &AttemptId);
  /// Queues the outcome of an attempt that ran. The entry is lost when the
  /// queue is full or closed.
  void finish(const std::string &TicketId, const std::string &AttemptId,
              const recorded_outcome &Outcome);

  void setAppendInterval(milliseconds Interval) { Pacer.setInterval(Interval); }

  /// Appends and reads back one batch; waits at most \p Wait for entries.
  void commitOnce(milliseconds Wait);

  /// Calls commitOnce until stop(), then once more for the queued entries. Runs
  /// in its own thread.
  void run();
  void stop() { Queue.close(); }

  /// Returns the newest offset of the claims stream known to this instance;
  /// empty until the log has first responded.
  std::optional<log_offset> knownHead() const;
  /// Reads the newest offset from the log; tickets can be issued once it is
  /// known.
  void refreshHead();

private:
  struct work_item {
    claim_entry Entry;
    log_offset StartOffset;
    monotonic_time Deadline;
    callback Done;
  };

  void finishBatch(const std::vector<work_item> &Batch, log_offset First);
  void failBatch(std::vector<work_item> Batch);
  tl::expected<claim_table, journal_error> readBack(log_offset StartOffset,
                                                    log_offset Last);
  void abandon(const work_item &Item, claim_verdict::kind Kind);
  void advanceHead(log_offset Head);

  claim_log &Log;
  const time_source &Clock;
  const milliseconds ClaimTimeout;
  append_pacer Pacer;
  batch_queue<work_item> Queue;
  std::atomic<std::uint64_t> Head{0};
  std::atomic<bool> HeadKnown{false};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_CLAIMCOORDINATOR_H
