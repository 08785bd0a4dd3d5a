#ifndef BLUEBELLKEEL_LIB_FRONTEND_WAITINGCLAIMGATEWAY_H
#define BLUEBELLKEEL_LIB_FRONTEND_WAITINGCLAIMGATEWAY_H

#include "bluebellkeel/Journal/ClaimCoordinator.h"
#include "bluebellkeel/Journal/ClaimGateway.h"
#include <boost/asio/spawn.hpp>

namespace bluebellkeel {

/// Suspends the coroutine of one request until the claim coordinator has
/// decided.
class waiting_claim_gateway final : public claim_gateway {
public:
  waiting_claim_gateway(claim_coordinator &Coordinator,
                        boost::asio::yield_context Yield)
      : Coordinator(Coordinator), Yield(Yield) {}

  claim_verdict claim(const ticket &Ticket,
                      const std::string &AttemptId) override;
  void release(const ticket &Ticket, const std::string &AttemptId) override {
    Coordinator.release(Ticket.id(), AttemptId);
  }
  void finish(const ticket &Ticket, const std::string &AttemptId,
              const recorded_outcome &Outcome) override {
    Coordinator.finish(Ticket.id(), AttemptId, Outcome);
  }

private:
  claim_coordinator &Coordinator;
  boost::asio::yield_context Yield;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_WAITINGCLAIMGATEWAY_H
