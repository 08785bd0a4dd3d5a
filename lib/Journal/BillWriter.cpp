#include "bluebellkeel/Journal/BillWriter.h"
#include <algorithm>
#include <iterator>

using namespace bluebellkeel;

/// Time to wait after a failed append before the next one.
static constexpr milliseconds FailureBackoff{200};

bill_writer::bill_writer(bill_log &Log, bill_replicator &Replicator,
                         const time_source &Clock, milliseconds AppendInterval)
    : Log(Log), Replicator(Replicator), Clock(Clock), Pacer(AppendInterval),
      Queue(MaxHeld) {}

void bill_writer::submit(const bill &Bill, callback Done) {
  auto Shared = std::make_shared<callback>(std::move(Done));
  if (!Queue.push({Bill, false, Shared}))
    (*Shared)(tl::unexpected(journal_error::QueueFull));
}

bool bill_writer::enqueueReplicated(const std::vector<bill> &Bills) {
  for (const auto &Bill : Bills) {
    if (!Queue.push({Bill, true, nullptr}))
      return false;
  }
  return true;
}

void bill_writer::commitOnce(milliseconds Wait) {
  drainQueue(Wait);
  if (Held.empty())
    return;
  bool TooSoon = Pacer.delayAt(Clock.monotonicNow()).count() > 0;
  if (LogFailed && TooSoon)
    return;
  appendHeld();
}

void bill_writer::drainQueue(milliseconds Wait) {
  auto New = Queue.take(MaxBatch, absl::FromChrono(Wait));
  // While the log is down, callers wait only for the replication.
  if (LogFailed)
    replicateUncopied(New);
  std::move(New.begin(), New.end(), std::back_inserter(Held));
  HeldCount = Held.size();
}

void bill_writer::appendHeld() {
  std::size_t Count = std::min(Held.size(), MaxBatch);
  auto End = Held.begin() + static_cast<std::ptrdiff_t>(Count);
  std::vector<bill> Bills;
  Bills.reserve(Count);
  for (auto Item = Held.begin(); Item != End; ++Item)
    Bills.push_back(Item->Bill);
  auto First = Log.append(Bills);
  LogFailed = !First;
  Pacer.recordAppend(Clock.monotonicNow());
  if (!First) {
    Pacer.blockUntil(Clock.monotonicNow() + FailureBackoff);
    replicateUncopied(Held);
    return;
  }
  std::vector<work_item> Done(std::make_move_iterator(Held.begin()),
                              std::make_move_iterator(End));
  Held.erase(Held.begin(), End);
  HeldCount = Held.size();
  finish(Done);
}

void bill_writer::finish(const std::vector<work_item> &Items) {
  for (const auto &Item : Items) {
    if (Item.Done)
      (*Item.Done)({});
  }
}

void bill_writer::replicateUncopied(std::vector<work_item> &Items) {
  std::vector<bill> Bills;
  std::vector<std::shared_ptr<callback>> Waiting;
  for (auto &Item : Items) {
    if (Item.Copied)
      continue;
    Item.Copied = true;
    Bills.push_back(Item.Bill);
    Waiting.push_back(std::move(Item.Done));
    Item.Done = nullptr;
  }
  if (Bills.empty())
    return;
  Replicator.replicate(Bills, [Waiting](bool Held) {
    for (const auto &Done : Waiting) {
      if (!Done)
        continue;
      if (Held)
        (*Done)({});
      else
        (*Done)(tl::unexpected(journal_error::Unavailable));
    }
  });
}

void bill_writer::run() {
  while (!Queue.closed() || (held() > 0 && !LogFailed)) {
    auto Delay = Pacer.delayAt(Clock.monotonicNow());
    if (Delay.count() > 0 && !LogFailed)
      Queue.sleepFor(absl::FromChrono(Delay));
    commitOnce(LogFailed ? FailureBackoff : milliseconds(seconds(1)));
  }
}
