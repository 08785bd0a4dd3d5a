#include "Authentication.h"
#include "BufferedSink.h"
#include "ChatBody.h"
#include "Endpoints.h"
#include "JsonResponse.h"
#include "ObservedSink.h"
#include "RequestDependencies.h"
#include "RequestIdentity.h"
#include "StreamSink.h"
#include "absl/strings/str_cat.h"
#include "bluebellkeel/Relay.h"

using namespace bluebellkeel;

/// Length of the messages' prefix that is fingerprinted, in bytes.
static constexpr std::size_t PrefixBytes = 512;

namespace {

/// POST /v1/chat/completions: a chat completion, streamed or whole.
class chat_endpoint final : public endpoint {
public:
  explicit chat_endpoint(frontend_context &Context) : Context(Context) {}

  bool matches(const http_request &Request) const override {
    return Request.method() == "POST" &&
           Request.path() == "/v1/chat/completions";
  }
  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  tl::expected<chat_request, refusal> read(const http_request &Request,
                                           const chat_body &Body) const;
  void run(const chat_request &Chat, chat_sink &Sink,
           boost::asio::yield_context Yield);
  http_headers headersFor(const chat_request &Chat,
                          const plan_step &Step) const;
  void refuse(http_responder &Responder, const refusal &Refusal);

  frontend_context &Context;
};

} // namespace

static refusal badRequest(std::string Detail) {
  return refusal(refusal_reason::BadRequest, run_state::NotRun,
                 std::move(Detail));
}

static std::string hashText(const std::string &Text) {
  return absl::StrCat(absl::Hex(stableHash(Text), absl::kZeroPad16));
}

tl::expected<chat_request, refusal>
chat_endpoint::read(const http_request &Request, const chat_body &Body) const {
  auto Account = authenticatedAccount(Context, Request);
  if (!Account)
    return tl::unexpected(refusal(refusal_reason::Unauthenticated,
                                  run_state::NotRun,
                                  "The API key is missing or unknown."));
  auto Id = requestIdOf(Request, Context.Random);
  if (!Id)
    return tl::unexpected(badRequest("The Idempotency-Key is malformed."));
  fingerprint Content = chatFingerprint(*Account, Request.body());
  fingerprint Prefix(hashText(Body.messages().substr(0, PrefixBytes)));
  auto Chat = chat_request(*Id, *Account, Body.model(), Request.body(),
                           Body.maxTokens())
                  .withFingerprints(Content, Prefix);
  std::string Token = Request.headers().get("Bluebellkeel-Session");
  if (Token.empty())
    return Chat;
  auto Session = Context.Sessions.decode(Token);
  if (!Session || Session->account() != *Account)
    return tl::unexpected(refusal(refusal_reason::SessionInvalid,
                                  run_state::NotRun,
                                  "The session token is not one of ours."));
  return Chat.withSession(*Session);
}

http_headers chat_endpoint::headersFor(const chat_request &Chat,
                                       const plan_step &Step) const {
  session Session(Chat.account(), Step.version());
  return http_headers()
      .with("Bluebellkeel-Request", Chat.id().text())
      .with("Bluebellkeel-Version", Step.version().text())
      .with("Bluebellkeel-Session", Context.Sessions.encode(Session))
      .with("Bluebellkeel-Quality-Target",
            Step.meetsTarget() ? "met" : "missed");
}

void chat_endpoint::refuse(http_responder &Responder, const refusal &Refusal) {
  Context.Metrics.countRefusal(Refusal.reason());
  sendRefusal(Responder, Refusal);
}

void chat_endpoint::run(const chat_request &Chat, chat_sink &Sink,
                        boost::asio::yield_context Yield) {
  observed_sink Observed(Sink, Context.Clock, Context.Metrics,
                         Context.Sampler.acceptsSamples());
  request_dependencies Deps(Context, Context.Chooser, Yield);
  chat_relay Relay(Deps.relayDependencies());
  auto Outcome = Relay.relay(Chat, Observed, [&](const plan_step &Step) {
    Observed.clearText();
    Sink.setHeaders(headersFor(Chat, Step));
  });
  if (!Outcome) {
    Context.Metrics.countRefusal(Outcome.error().reason());
    Sink.refuse(Outcome.error());
    return;
  }
  Sink.finish();
  Observed.finish();
  if (Context.Sampler.acceptsSamples())
    Context.Sampler.sample(Outcome->step().version(), Observed.text());
}

void chat_endpoint::handle(const http_request &Request,
                           http_responder &Responder,
                           boost::asio::yield_context Yield) {
  auto Body = chat_body::parse(Request.body());
  if (!Body) {
    refuse(Responder, badRequest(Body.error().message()));
    return;
  }
  auto Chat = read(Request, *Body);
  if (!Chat) {
    refuse(Responder, Chat.error());
    return;
  }
  if (Body->stream()) {
    stream_sink Sink(Responder);
    run(*Chat, Sink, Yield);
    return;
  }
  buffered_sink Sink(Responder);
  run(*Chat, Sink, Yield);
}

std::unique_ptr<endpoint>
bluebellkeel::makeChatEndpoint(frontend_context &Context) {
  return std::make_unique<chat_endpoint>(Context);
}
