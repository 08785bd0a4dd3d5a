#ifndef BLUEBELLKEEL_LIB_FRONTEND_ENDPOINT_H
#define BLUEBELLKEEL_LIB_FRONTEND_ENDPOINT_H

#include "bluebellkeel/Http/HttpRequest.h"
#include "bluebellkeel/Http/HttpResponder.h"
#include <boost/asio/spawn.hpp>

namespace bluebellkeel {

/// Handles one kind of request of the front end.
class endpoint {
public:
  virtual ~endpoint() = default;

  virtual bool matches(const http_request &Request) const = 0;
  virtual void handle(const http_request &Request, http_responder &Responder,
                      boost::asio::yield_context Yield) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_ENDPOINT_H
