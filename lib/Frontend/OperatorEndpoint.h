#ifndef BLUEBELLKEEL_LIB_FRONTEND_OPERATORENDPOINT_H
#define BLUEBELLKEEL_LIB_FRONTEND_OPERATORENDPOINT_H

#include "Authentication.h"
#include "Endpoint.h"
#include "JsonResponse.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace bluebellkeel {

/// An endpoint for operators, which requires the key of a team.
class operator_endpoint : public endpoint {
public:
  operator_endpoint(frontend_context &Context, std::string Method,
                    std::string Path)
      : Context(Context), Method(std::move(Method)), Path(std::move(Path)) {}

  bool matches(const http_request &Request) const final {
    return Request.method() == Method && Request.path() == Path;
  }

  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) final {
    auto Team = teamOf(Context, Request);
    if (Team)
      handleFor(*Team, Request, Responder, Yield);
    else
      sendError(Responder, 401, "unauthenticated",
                "The team key is missing or unknown.");
  }

protected:
  virtual void handleFor(const team_id &Team, const http_request &Request,
                         http_responder &Responder,
                         boost::asio::yield_context Yield) = 0;

  frontend_context &Context;

private:
  std::string Method;
  std::string Path;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_OPERATORENDPOINT_H
