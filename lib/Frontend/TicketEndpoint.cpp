#include "Authentication.h"
#include "Endpoints.h"
#include "JsonResponse.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

namespace {

/// POST /v1/tickets: issues a ticket for one call that may run at most once.
class ticket_endpoint final : public endpoint {
public:
  explicit ticket_endpoint(frontend_context &Context) : Context(Context) {}

  bool matches(const http_request &Request) const override {
    return Request.method() == "POST" && Request.path() == "/v1/tickets";
  }
  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  void refuse(http_responder &Responder, refusal_reason Reason,
              std::string Detail);

  frontend_context &Context;
};

} // namespace

void ticket_endpoint::refuse(http_responder &Responder, refusal_reason Reason,
                             std::string Detail) {
  Context.Metrics.countRefusal(Reason);
  sendRefusal(Responder, refusal(Reason, run_state::NotRun, std::move(Detail)));
}

void ticket_endpoint::handle(const http_request &Request,
                             http_responder &Responder,
                             boost::asio::yield_context /*Yield*/) {
  auto Account = authenticatedAccount(Context, Request);
  if (!Account) {
    refuse(Responder, refusal_reason::Unauthenticated,
           "The API key is missing or unknown.");
    return;
  }
  auto IssueOffset = Context.Claims.knownHead();
  if (!IssueOffset) {
    refuse(Responder, refusal_reason::LogUnavailable,
           "This instance has not reached the log yet.");
    return;
  }
  ticket Ticket = Context.Tickets.issue(*Account, *IssueOffset);
  sendJson(Responder, 200,
           {{"ticket", Context.Tickets.encode(Ticket)},
            {"expires_in_s", Context.Startup.Limits.TicketLifetime.count()}});
}

std::unique_ptr<endpoint>
bluebellkeel::makeTicketEndpoint(frontend_context &Context) {
  return std::make_unique<ticket_endpoint>(Context);
}
