#ifndef BLUEBELLKEEL_BACKEND_SERVICECLIENT_H
#define BLUEBELLKEEL_BACKEND_SERVICECLIENT_H

#include "bluebellkeel/Http/HttpTimeouts.h"
#include "bluebellkeel/Relay/ServiceUpstream.h"
#include <boost/asio/spawn.hpp>

namespace bluebellkeel {

/// Calls services over HTTP, in the coroutine of one request.
class service_client final : public service_upstream {
public:
  service_client(boost::asio::yield_context Yield, http_timeouts Timeouts)
      : Yield(Yield), Timeouts(Timeouts) {}

  tl::expected<service_response, attempt_error>
  call(const service_attempt &Attempt) override;

private:
  boost::asio::yield_context Yield;
  http_timeouts Timeouts;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_BACKEND_SERVICECLIENT_H
