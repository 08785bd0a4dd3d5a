#ifndef BLUEBELLKEEL_HTTP_HTTPRESPONDER_H
#define BLUEBELLKEEL_HTTP_HTTPRESPONDER_H

#include "bluebellkeel/Http/HttpResponse.h"
#include <functional>
#include <string_view>

namespace bluebellkeel {

/// Answers one request: either whole by send(), or piece by piece by begin(),
/// write() and end(). Each call waits until the bytes are on their way and
/// returns false when the other end is gone or too slow.
class http_responder {
public:
  virtual ~http_responder() = default;

  virtual bool send(const http_response &Response) = 0;
  virtual bool begin(int Status, const http_headers &Headers) = 0;
  virtual bool write(std::string_view Piece) = 0;
  virtual bool end() = 0;
  /// Closes the connection without a further byte, so that the other end sees
  /// that the answer is not whole.
  virtual void abandon() = 0;
  /// True once send() or begin() was called.
  virtual bool started() const = 0;
  /// Has \p OnDisconnect called once if the other end closes the connection
  /// before the handler returns; on the connection's own executor.
  virtual void watch(std::function<void()> OnDisconnect) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPRESPONDER_H
