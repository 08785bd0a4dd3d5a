#ifndef BLUEBELLKEEL_HTTP_HTTPCLIENT_H
#define BLUEBELLKEEL_HTTP_HTTPCLIENT_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http/HttpError.h"
#include "bluebellkeel/Http/HttpRequest.h"
#include "bluebellkeel/Http/HttpResponse.h"
#include "bluebellkeel/Http/HttpTimeouts.h"
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Performs blocking HTTP exchanges. Each exchange opens its own connection,
/// since a reused connection may have gone silent without notice.
class http_client {
public:
  explicit http_client(http_timeouts Timeouts) : Timeouts(Timeouts) {}

  tl::expected<http_response, http_error>
  send(const network_address &Address, const http_request &Request) const;

private:
  http_timeouts Timeouts;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPCLIENT_H
