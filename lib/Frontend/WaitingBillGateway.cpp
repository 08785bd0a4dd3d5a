#include "WaitingBillGateway.h"
#include "bluebellkeel/Http/Await.h"

using namespace bluebellkeel;

tl::expected<void, journal_error>
waiting_bill_gateway::commit(const bill &Bill) {
  using result = tl::expected<void, journal_error>;
  return awaitCallback<result>(Yield, [&](std::function<void(result)> Done) {
    Writer.submit(Bill, std::move(Done));
  });
}
