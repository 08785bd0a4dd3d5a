#ifndef BLUEBELLKEEL_BACKEND_ENGINECLIENT_H
#define BLUEBELLKEEL_BACKEND_ENGINECLIENT_H

#include "bluebellkeel/Http/HttpTimeouts.h"
#include "bluebellkeel/Relay/ChatUpstream.h"
#include <boost/asio/spawn.hpp>

namespace bluebellkeel {

/// Runs chat completions on engines over HTTP with server-sent events, in the
/// coroutine of one request.
class engine_client final : public chat_upstream {
public:
  engine_client(boost::asio::yield_context Yield, http_timeouts Timeouts)
      : Yield(Yield), Timeouts(Timeouts) {}

  tl::expected<token_usage, attempt_error> run(const chat_attempt &Attempt,
                                               response_sink &Sink) override;

private:
  boost::asio::yield_context Yield;
  http_timeouts Timeouts;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_BACKEND_ENGINECLIENT_H
