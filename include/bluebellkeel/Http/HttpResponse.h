#ifndef BLUEBELLKEEL_HTTP_HTTPRESPONSE_H
#define BLUEBELLKEEL_HTTP_HTTPRESPONSE_H

#include "bluebellkeel/Http/HttpHeaders.h"
#include <tuple>

namespace bluebellkeel {

/// A whole HTTP response.
class http_response : public comparable<http_response> {
public:
  http_response() = default;
  http_response(int Status, http_headers Headers, std::string Body)
      : Status(Status), Headers(std::move(Headers)), Body(std::move(Body)) {}

  int status() const { return Status; }
  const http_headers &headers() const { return Headers; }
  const std::string &body() const { return Body; }
  auto key() const { return std::tie(Status, Headers, Body); }

private:
  int Status = 0;
  http_headers Headers;
  std::string Body;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPRESPONSE_H
