#ifndef BLUEBELLKEEL_LIB_FRONTEND_WAITINGSLOTGATEWAY_H
#define BLUEBELLKEEL_LIB_FRONTEND_WAITINGSLOTGATEWAY_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Frontend/GrantWaker.h"
#include "bluebellkeel/Relay/SlotGateway.h"
#include "bluebellkeel/Upstream/AdmissionQueue.h"
#include "bluebellkeel/Upstream/GrantHolder.h"
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace bluebellkeel {

/// Suspends the coroutine of one request in the admission queue until a slot is
/// acquired or the maximum wait has elapsed.
class waiting_slot_gateway final : public slot_gateway {
public:
  waiting_slot_gateway(grant_holder &Grants, admission_queue &Queue,
                       grant_waker &Waker, milliseconds MaxWait,
                       boost::asio::yield_context Yield)
      : Grants(Grants), Queue(Queue), Waker(Waker), MaxWait(MaxWait),
        Yield(Yield) {}

  tl::expected<upstream_slot, admission_error>
  acquire(const pool_id &Pool, const account_id &Account,
          const load_amount &Need, const candidate_source &Candidates) override;

private:
  using shared_slot = std::shared_ptr<upstream_slot>;

  std::optional<upstream_slot> tryNow(const load_amount &Need,
                                      const candidate_source &Candidates);

  grant_holder &Grants;
  admission_queue &Queue;
  grant_waker &Waker;
  milliseconds MaxWait;
  boost::asio::yield_context Yield;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_WAITINGSLOTGATEWAY_H
