#ifndef BLUEBELLKEEL_HTTP_CLIENTSTREAM_H
#define BLUEBELLKEEL_HTTP_CLIENTSTREAM_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http/HttpError.h"
#include "bluebellkeel/Http/HttpRequest.h"
#include "bluebellkeel/Http/HttpResponse.h"
#include "bluebellkeel/Http/HttpTimeouts.h"
#include <boost/asio/spawn.hpp>
#include <memory>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// One HTTP exchange on its own connection, whose response a coroutine reads
/// piece by piece. The destructor closes the connection, so that the other end
/// can stop work on an unfinished request.
class client_stream {
public:
  /// If the first-byte timeout is longer than this limit, TCP keep-alive probes
  /// are enabled, and the connection fails once the other end has not responded
  /// for this long. While it takes no more bytes of a long body, only the
  /// timeouts hold.
  static constexpr milliseconds SilenceLimit{3000};

  client_stream(boost::asio::yield_context Yield, http_timeouts Timeouts);
  ~client_stream();

  /// Connects, sends \p Request and reads the head of the response. The body of
  /// the returned response is empty.
  tl::expected<http_response, http_error> open(const network_address &Address,
                                               const http_request &Request);

  /// Discards the current response and reads the head of the next one, for
  /// upstreams that send an unsolicited response.
  tl::expected<http_response, http_error> nextResponse();

  /// Ends the pending operation with http_error::Cancelled. Must be called on
  /// the coroutine's executor.
  void cancel();

  /// Returns the next piece of the body; empty at the end of the body. After
  /// http_error::ReadTimeout it may be called again.
  tl::expected<std::string, http_error> readSome();

  /// Reads the rest of the body. Returns http_error::TooLarge if it exceeds
  /// \p MaxBytes.
  tl::expected<std::string, http_error> readAll(std::size_t MaxBytes);

private:
  class impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_CLIENTSTREAM_H
