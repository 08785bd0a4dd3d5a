#include "WaitingClaimGateway.h"
#include "bluebellkeel/Http/Await.h"

using namespace bluebellkeel;

claim_verdict waiting_claim_gateway::claim(const ticket &Ticket,
                                           const std::string &AttemptId) {
  using result = std::shared_ptr<claim_verdict>;
  return *awaitCallback<result>(Yield, [&](std::function<void(result)> Done) {
    Coordinator.claim(Ticket, AttemptId, [Done](const claim_verdict &Verdict) {
      Done(std::make_shared<claim_verdict>(Verdict));
    });
  });
}
