#include "bluebellkeel/Journal/BillLedger.h"
#include <thread>

using namespace bluebellkeel;

/// How long the thread rests after the log failed.
static constexpr milliseconds FailurePause{200};

bill_ledger::bill_ledger(bill_log &Log, bill_mirror &Mirror,
                         const time_source &Clock, milliseconds AppendInterval)
    : Log(Log), Mirror(Mirror), Clock(Clock), Pacer(AppendInterval),
      Queue(MaxHeld) {}

void bill_ledger::submit(const bill &Bill, callback Done) {
  auto Shared = std::make_shared<callback>(std::move(Done));
  if (!Queue.push({Bill, false, Shared}))
    (*Shared)(tl::unexpected(journal_error::QueueFull));
}

bool bill_ledger::adopt(const std::vector<bill> &Bills) {
  for (const auto &Bill : Bills) {
    if (!Queue.push({Bill, true, nullptr}))
      return false;
  }
  return true;
}

void bill_ledger::commitOnce(milliseconds Wait) {
  auto Batch = Queue.take(MaxBatch, absl::FromChrono(Wait));
  if (Batch.empty())
    return;
  std::vector<bill> Bills;
  Bills.reserve(Batch.size());
  for (const auto &Item : Batch)
    Bills.push_back(Item.Bill);
  // While the log is known to be down, callers wait for the copy alone.
  if (LogFailed)
    mirror(Batch);
  auto First = Log.append(Bills);
  LogFailed = !First;
  Pacer.appended(Clock.monotonicNow());
  if (!First) {
    mirror(Batch);
    Queue.pushFront(std::move(Batch));
    Pacer.appended(Clock.monotonicNow() + FailurePause);
    return;
  }
  for (const auto &Item : Batch) {
    if (Item.Done)
      (*Item.Done)({});
  }
}

void bill_ledger::mirror(std::vector<work_item> &Batch) {
  std::vector<bill> Bills;
  std::vector<std::shared_ptr<callback>> Waiting;
  for (auto &Item : Batch) {
    if (Item.Copied)
      continue;
    Item.Copied = true;
    Bills.push_back(Item.Bill);
    Waiting.push_back(std::move(Item.Done));
    Item.Done = nullptr;
  }
  if (Bills.empty())
    return;
  Mirror.copy(Bills, [Waiting](bool Held) {
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

void bill_ledger::run() {
  while (!Queue.closed() || (Queue.size() > 0 && !LogFailed)) {
    auto Rest = Pacer.waitAt(Clock.monotonicNow());
    if (Rest.count() > 0)
      std::this_thread::sleep_for(Rest);
    commitOnce(seconds(1));
  }
}
