#ifndef BLUEBELLKEEL_HTTP_HTTPSERVER_H
#define BLUEBELLKEEL_HTTP_HTTPSERVER_H

#include "bluebellkeel/Core/MemoryBudget.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http/HttpHandler.h"
#include "bluebellkeel/Http/HttpLimitSource.h"
#include "bluebellkeel/Http/StoppableServer.h"
#include "bluebellkeel/Http/ThreadPool.h"
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Listens on one address and passes each request to a handler.
class http_server final : public stoppable_server {
public:
  http_server(thread_pool &Pool, http_handler &Handler, http_limits Limits);
  /// Uses limits that may change while the server runs.
  ///
  /// \param Memory what the connections and requests may hold; several servers
  /// may share it.
  http_server(thread_pool &Pool, http_handler &Handler,
              std::shared_ptr<const http_limit_source> Limits,
              std::shared_ptr<memory_budget> Memory);
  ~http_server() override;

  /// Starts listening. The error contains the address and the reason.
  tl::expected<void, std::string> listen(const network_address &Address);

  void disableKeepAlive() override;
  std::size_t active() const override;
  std::size_t connections() const override;
  /// Returns as well if endWait() was called.
  bool awaitIdle(milliseconds Limit) const override;
  void drain() override;
  void closeIdle() override;
  void refuseIncomplete() override;
  /// Returns as well if endWait() was called.
  bool awaitClosed(milliseconds Limit) const override;

  /// Makes the waits of awaitIdle() and awaitClosed() return at once, also
  /// later ones.
  void endWait();

private:
  class impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPSERVER_H
