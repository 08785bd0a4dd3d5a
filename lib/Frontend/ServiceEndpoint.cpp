#include "Authentication.h"
#include "Endpoints.h"
#include "JsonResponse.h"
#include "RequestDependencies.h"
#include "RequestIdentity.h"
#include "absl/strings/str_split.h"

using namespace bluebellkeel;

namespace {

/// POST /v1/services/SERVICE/OPERATION: a service call. A call that may run at
/// most once has its ticket in the header Bluebellkeel-Ticket; the header
/// `Bluebellkeel-Attempt: 1` states that the ticket was not sent before.
class service_endpoint final : public endpoint {
public:
  explicit service_endpoint(frontend_context &Context) : Context(Context) {}

  bool matches(const http_request &Request) const override {
    return Request.method() == "POST" &&
           Request.path().compare(0, Prefix.size(), Prefix) == 0;
  }
  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  tl::expected<service_call, refusal> read(const http_request &Request) const;

  inline static const std::string Prefix = "/v1/services/";

  frontend_context &Context;
};

} // namespace

static refusal notRunRefusal(refusal_reason Reason, std::string Detail) {
  return refusal(Reason, run_state::NotRun, std::move(Detail));
}

tl::expected<service_call, refusal>
service_endpoint::read(const http_request &Request) const {
  std::vector<std::string> Names =
      absl::StrSplit(Request.path().substr(Prefix.size()), '/');
  if (Names.size() != 2)
    return tl::unexpected(
        notRunRefusal(refusal_reason::BadRequest,
                      "The path is /v1/services/SERVICE/OPERATION."));
  auto Account = authenticatedAccount(Context, Request);
  if (!Account)
    return tl::unexpected(notRunRefusal(refusal_reason::Unauthenticated,
                                        "The API key is missing or unknown."));
  auto Id = requestIdOf(Request, Context.Random);
  if (!Id)
    return tl::unexpected(notRunRefusal(refusal_reason::BadRequest,
                                        "The Idempotency-Key is malformed."));
  service_call Call(*Id, *Account, service_id(Names[0]), Names[1],
                    Request.body());
  std::string Token = Request.headers().get("Bluebellkeel-Ticket");
  if (Token.empty())
    return Call;
  auto Ticket = Context.Tickets.decode(Token);
  if (!Ticket)
    return tl::unexpected(notRunRefusal(refusal_reason::TicketInvalid,
                                        "The ticket is not one of ours."));
  bool First = Request.headers().get("Bluebellkeel-Attempt") == "1";
  return Call.withTicket(*Ticket, /*MayBeResend=*/!First);
}

void service_endpoint::handle(const http_request &Request,
                              http_responder &Responder,
                              boost::asio::yield_context Yield) {
  auto Call = read(Request);
  if (!Call) {
    Context.Metrics.countRefusal(Call.error().reason());
    sendRefusal(Responder, Call.error());
    return;
  }
  least_requests_chooser Chooser;
  request_dependencies Deps(Context, Chooser, Yield);
  service_relay Relay(Deps.relayDependencies());
  auto Response = Relay.relay(*Call);
  if (!Response) {
    Context.Metrics.countRefusal(Response.error().reason());
    sendRefusal(Responder, Response.error());
    return;
  }
  auto Headers = http_headers()
                     .with("Content-Type", "application/json")
                     .with("Bluebellkeel-Request", Call->id().text());
  Responder.send(http_response(Response->status(), Headers, Response->body()));
}

std::unique_ptr<endpoint>
bluebellkeel::makeServiceEndpoint(frontend_context &Context) {
  return std::make_unique<service_endpoint>(Context);
}
