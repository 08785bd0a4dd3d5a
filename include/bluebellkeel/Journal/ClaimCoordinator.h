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

/// Writes claims to the log in groups and reads them back. An attempt is
/// granted only after its claim was read as the first of its ticket; the order
/// in the log decides, so a holder that was paused does no harm.
class claim_coordinator {
public:
  using claim_log = record_log<claim_entry>;
  using callback = std::function<void(const claim_verdict &)>;

  static constexpr std::size_t MaxWaiting = 4096;
  static constexpr std::size_t MaxBatch = 256;

  /// \p ClaimTimeout is how long a claim waits for the log.
  claim_coordinator(claim_log &Log, const time_source &Clock,
                    milliseconds ClaimTimeout, milliseconds AppendInterval);

  /// Starts a claim; \p Done is called once, from the thread of run().
  void claim(const ticket &Ticket, const std::string &AttemptId, callback Done);
  void release(const std::string &TicketId, const std::string &AttemptId);
  void finish(const std::string &TicketId, const std::string &AttemptId,
              const recorded_outcome &Outcome);

  void setAppendInterval(milliseconds Interval) { Pacer.setInterval(Interval); }

  /// Appends and reads back one group; waits at most \p Wait for work.
  void commitOnce(milliseconds Wait);

  /// Calls commitOnce until stop(). For a thread of its own.
  void run();
  void stop() { Queue.close(); }

  /// The newest offset of the stream known here; empty before the first
  /// contact with the log.
  std::optional<log_offset> knownHead() const;
  /// Asks the log for its head, so that tickets can be issued.
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
