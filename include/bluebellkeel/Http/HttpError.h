#ifndef BLUEBELLKEEL_HTTP_HTTPERROR_H
#define BLUEBELLKEEL_HTTP_HTTPERROR_H

#include <string_view>

namespace bluebellkeel {

/// Why an exchange over HTTP failed.
enum class http_error {
  /// The connection could not be opened; nothing was sent.
  ConnectFailed,
  /// The request may have been sent in part.
  SendFailed,
  /// The response did not begin in time.
  FirstByteTimeout,
  /// The response began, but its next piece did not arrive in time.
  ReadTimeout,
  /// The connection was closed before the response was complete.
  Closed,
  /// The received bytes are not valid HTTP.
  Malformed,
  /// The response was larger than allowed.
  TooLarge,
  /// This side cancelled the exchange.
  Cancelled,
};

std::string_view toString(http_error Error);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPERROR_H
