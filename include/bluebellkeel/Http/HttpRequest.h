#ifndef BLUEBELLKEEL_HTTP_HTTPREQUEST_H
#define BLUEBELLKEEL_HTTP_HTTPREQUEST_H

#include "bluebellkeel/Core/SharedText.h"
#include "bluebellkeel/Http/HttpHeaders.h"
#include <tuple>

namespace bluebellkeel {

/// An HTTP request as sent on the wire.
class http_request : public comparable<http_request> {
public:
  http_request() = default;
  http_request(std::string Method, std::string Target, http_headers Headers,
               shared_text Body)
      : Method(std::move(Method)), Target(std::move(Target)),
        Headers(std::move(Headers)), Body(std::move(Body)) {}

  const std::string &method() const { return Method; }
  /// Path and query.
  const std::string &target() const { return Target; }
  std::string path() const { return Target.substr(0, Target.find('?')); }
  /// Returns the decoded value of a query parameter; empty if it is absent.
  std::string query(std::string_view Name) const;
  const http_headers &headers() const { return Headers; }
  const std::string &body() const { return Body.text(); }
  /// Returns the body without copying its bytes.
  const shared_text &sharedBody() const { return Body; }
  auto key() const { return std::tie(Method, Target, Headers, Body); }

private:
  std::string Method;
  std::string Target;
  http_headers Headers;
  shared_text Body;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPREQUEST_H
