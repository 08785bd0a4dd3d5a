#ifndef BLUEBELLKEEL_HTTP_HTTPRESPONDER_H
#define BLUEBELLKEEL_HTTP_HTTPRESPONDER_H

#include "bluebellkeel/Http/HttpResponse.h"
#include <functional>
#include <string_view>

namespace bluebellkeel {

/// Sends the response to one request: either whole with send(), or piece by
/// piece with begin(), write() and end(). Each call waits until its bytes are
/// written and returns false if the client has disconnected or is too slow.
class http_responder {
public:
  virtual ~http_responder() = default;

  virtual bool send(const http_response &Response) = 0;
  virtual bool begin(int Status, const http_headers &Headers) = 0;
  virtual bool write(std::string_view Piece) = 0;
  virtual bool end() = 0;
  /// Closes the connection without sending more bytes, so that the client sees
  /// that the response is incomplete.
  virtual void abandon() = 0;
  /// True once send(), begin() or abandon() was called.
  virtual bool started() const = 0;
  /// Calls \p OnDisconnect once, on the connection's executor, if the client
  /// closes the connection before the handler returns.
  virtual void watch(std::function<void()> OnDisconnect) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPRESPONDER_H
