#ifndef BLUEBELLKEEL_HTTP_HTTPERROR_H
#define BLUEBELLKEEL_HTTP_HTTPERROR_H

#include <string_view>

namespace bluebellkeel {

/// Why an exchange over HTTP failed.
enum class http_error {
  /// No connection; nothing was sent.
  ConnectFailed,
  /// The request may have been sent in part.
  SendFailed,
  /// No answer began in time.
  FirstByteTimeout,
  /// The answer stopped coming.
  ReadTimeout,
  /// The connection ended before the answer did.
  Closed,
  /// What came was not HTTP.
  Malformed,
  /// The answer was larger than allowed.
  TooLarge,
  /// This side gave the exchange up.
  Cancelled,
};

std::string_view toString(http_error Error);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPERROR_H
