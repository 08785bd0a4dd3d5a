#ifndef BLUEBELLKEEL_LIB_FRONTEND_REQUESTDEPENDENCIES_H
#define BLUEBELLKEEL_LIB_FRONTEND_REQUESTDEPENDENCIES_H

#include "WaitingBillGateway.h"
#include "WaitingClaimGateway.h"
#include "WaitingSlotGateway.h"
#include "bluebellkeel/Backend.h"
#include "bluebellkeel/Frontend/FrontendContext.h"

namespace bluebellkeel {

/// The relay's dependencies for one request, whose coroutine waits on them.
class request_dependencies {
public:
  request_dependencies(frontend_context &Context, upstream_chooser &Chooser,
                       boost::asio::yield_context Yield);

  relay_dependencies &relayDependencies() { return Deps; }

private:
  waiting_slot_gateway Slots;
  waiting_bill_gateway Bills;
  waiting_claim_gateway Claims;
  engine_client Engines;
  service_client Services;
  relay_dependencies Deps;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_REQUESTDEPENDENCIES_H
