#include "WaitingSlotGateway.h"
#include "bluebellkeel/Http/Await.h"
#include <algorithm>

using namespace bluebellkeel;

std::optional<upstream_slot>
waiting_slot_gateway::tryNow(const load_amount &Need,
                             const candidate_source &Candidates) {
  for (const auto &Upstream : Candidates()) {
    auto Slot = Grants.tryAcquire(Upstream.id(), Need);
    if (Slot)
      return Slot;
  }
  return std::nullopt;
}

tl::expected<upstream_slot, admission_error>
waiting_slot_gateway::acquire(const pool_id &Pool, const account_id &Account,
                              const load_amount &Need,
                              const candidate_source &Candidates) {
  auto InitialCandidates = Candidates();
  if (InitialCandidates.empty())
    return tl::unexpected(admission_error::NoUpstream);
  bool Fits = std::any_of(
      InitialCandidates.begin(), InitialCandidates.end(),
      [&](const auto &Upstream) { return Need.fitsIn(Upstream.warm()); });
  if (!Fits)
    return tl::unexpected(admission_error::TimedOut);
  auto Timer = std::make_shared<boost::asio::steady_timer>(Yield.get_executor(),
                                                           MaxWait);
  bool QueueFull = false;
  auto Slot = awaitCallback<shared_slot>(
      Yield, [&](std::function<void(shared_slot)> Done) {
        auto Number = Queue.enqueue(
            Pool, Account, [&] { return tryNow(Need, Candidates); },
            [Done](upstream_slot Acquired) {
              Done(std::make_shared<upstream_slot>(std::move(Acquired)));
            });
        if (Number == 0) {
          QueueFull = true;
          Done(nullptr);
          return;
        }
        Waker.wakeGrantTask();
        Timer->async_wait([&Queue = Queue, Pool, Account, Number,
                           Done](const boost::system::error_code &Code) {
          if (!Code && Queue.cancel(Pool, Account, Number))
            Done(nullptr);
        });
      });
  Timer->cancel();
  if (Slot)
    return std::move(*Slot);
  return tl::unexpected(QueueFull ? admission_error::AccountQueueFull
                                  : admission_error::TimedOut);
}
