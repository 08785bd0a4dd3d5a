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

/// One exchange on a connection of its own, read piece by piece from within a
/// coroutine. Destroying it cancels what still runs at the other end.
class client_stream {
public:
  /// A connection on which an answer may take longer than this is probed, and
  /// given up after so long without a sign of the other end.
  static constexpr milliseconds SilenceLimit{3000};

  client_stream(boost::asio::yield_context Yield, http_timeouts Timeouts);
  ~client_stream();

  /// Connects, sends \p Request and reads the head of the answer, whose body
  /// is left empty.
  tl::expected<http_response, http_error> open(const network_address &Address,
                                               const http_request &Request);

  /// Drops the answer whose head was read and reads the head of the next one,
  /// when an upstream sent an answer that nobody had asked for.
  tl::expected<http_response, http_error> nextResponse();

  /// Makes whatever waits end with http_error::Cancelled; on the coroutine's
  /// executor.
  void cancel();

  /// The next piece of the body; empty at its end.
  tl::expected<std::string, http_error> readSome();

  /// Reads the rest of the body, at most \p MaxBytes.
  tl::expected<std::string, http_error> readAll(std::size_t MaxBytes);

private:
  class impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_CLIENTSTREAM_H
