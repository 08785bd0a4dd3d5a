#include "bluebellkeel/Journal/ClaimCoordinator.h"
#include "bluebellkeel/Journal/ClaimTable.h"
#include <algorithm>

using namespace bluebellkeel;

using verdict = claim_verdict::kind;

/// Most records requested by one read of the claims stream.
static constexpr std::size_t ReadPage = 1000;

/// Time to wait after a failed append before the next one.
static constexpr milliseconds FailureBackoff{100};

claim_coordinator::claim_coordinator(claim_log &Log, const time_source &Clock,
                                     milliseconds ClaimTimeout,
                                     milliseconds AppendInterval)
    : Log(Log), Clock(Clock), ClaimTimeout(ClaimTimeout), Pacer(AppendInterval),
      Queue(MaxWaiting) {}

void claim_coordinator::claim(const ticket &Ticket,
                              const std::string &AttemptId, callback Done) {
  work_item Item{claim_entry(claim_entry::kind::Claim, Ticket.id(), AttemptId),
                 Ticket.issueOffset(), Clock.monotonicNow() + ClaimTimeout,
                 Done};
  if (!Queue.push(std::move(Item)))
    Done(claim_verdict(verdict::QueueFull));
}

void claim_coordinator::release(const std::string &TicketId,
                                const std::string &AttemptId) {
  Queue.push({claim_entry(claim_entry::kind::Release, TicketId, AttemptId),
              log_offset(), monotonic_time::max(), nullptr});
}

void claim_coordinator::finish(const std::string &TicketId,
                               const std::string &AttemptId,
                               const recorded_outcome &Outcome) {
  Queue.push(
      {claim_entry(claim_entry::kind::Outcome, TicketId, AttemptId, Outcome),
       log_offset(), monotonic_time::max(), nullptr});
}

void claim_coordinator::commitOnce(milliseconds Wait) {
  auto Batch = Queue.take(MaxBatch, absl::FromChrono(Wait));
  if (Batch.empty())
    return;
  std::vector<claim_entry> Entries;
  Entries.reserve(Batch.size());
  for (const auto &Item : Batch)
    Entries.push_back(Item.Entry);
  auto First = Log.append(Entries);
  Pacer.recordAppend(Clock.monotonicNow());
  if (First)
    finishBatch(Batch, *First);
  else
    failBatch(std::move(Batch));
}

void claim_coordinator::run() {
  while (!Queue.closed()) {
    auto Delay = Pacer.delayAt(Clock.monotonicNow());
    if (Delay.count() > 0)
      Queue.sleepFor(absl::FromChrono(Delay));
    commitOnce(seconds(1));
  }
  commitOnce(milliseconds(0));
}

void claim_coordinator::finishBatch(const std::vector<work_item> &Batch,
                                    log_offset First) {
  log_offset Last(First.value() + Batch.size() - 1);
  advanceHead(Last);
  log_offset StartOffset = First;
  bool HasClaim = false;
  for (const auto &Item : Batch) {
    if (!Item.Done)
      continue;
    HasClaim = true;
    StartOffset = std::min(StartOffset, Item.StartOffset.next());
  }
  if (!HasClaim)
    return;
  auto Claims = readBack(StartOffset, Last);
  for (const auto &Item : Batch) {
    if (!Item.Done)
      continue;
    if (Claims)
      Item.Done(
          Claims->verdictFor(Item.Entry.ticketId(), Item.Entry.attemptId()));
    else
      abandon(Item, Claims.error() == journal_error::Trimmed
                        ? verdict::Trimmed
                        : verdict::LogUnavailable);
  }
}

tl::expected<claim_table, journal_error>
claim_coordinator::readBack(log_offset StartOffset, log_offset Last) {
  claim_table Claims;
  log_offset From = StartOffset;
  while (From <= Last) {
    auto Page = Log.read(From, ReadPage);
    if (!Page)
      return tl::unexpected(Page.error());
    if (Page->firstRetained() > From)
      return tl::unexpected(journal_error::Trimmed);
    if (Page->readTo() < From)
      return tl::unexpected(journal_error::Unavailable);
    for (const auto &Record : Page->records())
      Claims.apply(Record.entry());
    From = Page->readTo().next();
  }
  return Claims;
}

void claim_coordinator::failBatch(std::vector<work_item> Batch) {
  std::vector<work_item> Retries;
  monotonic_time Now = Clock.monotonicNow();
  for (auto &Item : Batch) {
    if (Now < Item.Deadline)
      Retries.push_back(std::move(Item));
    else
      abandon(Item, verdict::LogUnavailable);
  }
  Queue.pushFront(std::move(Retries));
  Pacer.blockUntil(Now + FailureBackoff);
}

void claim_coordinator::abandon(const work_item &Item,
                                claim_verdict::kind Kind) {
  // The claim may be in the log. Without the release, a resend would get
  // HeldElsewhere.
  release(Item.Entry.ticketId(), Item.Entry.attemptId());
  Item.Done(claim_verdict(Kind));
}

std::optional<log_offset> claim_coordinator::knownHead() const {
  if (!HeadKnown)
    return std::nullopt;
  return log_offset(Head);
}

void claim_coordinator::refreshHead() {
  auto Page = Log.read(log_offset(Head).next(), 1);
  if (Page)
    advanceHead(Page->head());
}

void claim_coordinator::advanceHead(log_offset NewHead) {
  std::uint64_t Known = Head;
  while (Known < NewHead.value() &&
         !Head.compare_exchange_weak(Known, NewHead.value())) {
  }
  HeadKnown = true;
}
