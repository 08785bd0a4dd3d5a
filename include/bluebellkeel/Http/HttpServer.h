#ifndef BLUEBELLKEEL_HTTP_HTTPSERVER_H
#define BLUEBELLKEEL_HTTP_HTTPSERVER_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Http/HttpHandler.h"
#include "bluebellkeel/Http/HttpLimitSource.h"
#include "bluebellkeel/Http/ThreadPool.h"
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Listens on one address and gives each request to a handler.
class http_server {
public:
  http_server(thread_pool &Pool, http_handler &Handler, http_limits Limits);
  /// With bounds that may change while the server runs.
  http_server(thread_pool &Pool, http_handler &Handler,
              std::shared_ptr<const http_limit_source> Limits);
  ~http_server();

  /// Starts to listen; the error names what the system said.
  tl::expected<void, std::string> listen(const network_address &Address);

  /// Closes each connection after its answer; new ones are still taken.
  void disableKeepAlive();

  /// Takes no further connections and closes each one after its answer.
  void drain();

  /// Requests that are being answered.
  std::size_t active() const;

  /// Waits until no request is being answered; false when \p Limit was up or
  /// endWait() was called.
  bool awaitIdle(milliseconds Limit) const;
  void endWait();

private:
  class impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPSERVER_H
