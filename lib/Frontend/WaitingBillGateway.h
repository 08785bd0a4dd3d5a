#ifndef BLUEBELLKEEL_LIB_FRONTEND_WAITINGBILLGATEWAY_H
#define BLUEBELLKEEL_LIB_FRONTEND_WAITINGBILLGATEWAY_H

#include "bluebellkeel/Journal/BillGateway.h"
#include "bluebellkeel/Journal/BillWriter.h"
#include <boost/asio/spawn.hpp>

namespace bluebellkeel {

/// Suspends the coroutine of one request until the bill writer reports the
/// result for its bill.
class waiting_bill_gateway final : public bill_gateway {
public:
  waiting_bill_gateway(bill_writer &Writer, boost::asio::yield_context Yield)
      : Writer(Writer), Yield(Yield) {}

  bool hasCapacity() const override { return Writer.hasCapacity(); }
  tl::expected<void, journal_error> commit(const bill &Bill) override;

private:
  bill_writer &Writer;
  boost::asio::yield_context Yield;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_WAITINGBILLGATEWAY_H
