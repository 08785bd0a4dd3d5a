#ifndef BLUEBELLKEEL_HTTP_HTTPHANDLER_H
#define BLUEBELLKEEL_HTTP_HTTPHANDLER_H

#include "bluebellkeel/Http/HttpRequest.h"
#include "bluebellkeel/Http/HttpResponder.h"
#include <boost/asio/spawn.hpp>
#include <string>

namespace bluebellkeel {

/// Handles the requests of a server, each in its own coroutine.
class http_handler {
public:
  virtual ~http_handler() = default;

  virtual void handle(const http_request &Request, http_responder &Responder,
                      boost::asio::yield_context Yield) = 0;

  /// Refuses a request for which the server has no memory; called instead of
  /// handle(). The request has no body, and neither method nor headers if its
  /// head is incomplete. Answers with status 503 unless overridden.
  virtual void refuseForMemory(const http_request &Request,
                               http_responder &Responder);

  /// Reports that handle() ended with the exception \p What; the server has
  /// ended only this exchange. Writes to standard error unless overridden.
  virtual void reportFailure(const http_request &Request,
                             const std::string &What);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPHANDLER_H
