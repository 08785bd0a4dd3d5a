#include "Endpoints.h"
#include "OperatorEndpoint.h"
#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Http/Await.h"
#include "bluebellkeel/Settings/SettingsSchema.h"

using namespace bluebellkeel;

using nlohmann::json;

/// Maximum time until a change is read back from the log.
static constexpr milliseconds ReadBackTimeout{8000};
static constexpr milliseconds ReadBackPollInterval{20};

namespace {

/// POST /admin/settings: a change of the team's subtree. A change is reported
/// as accepted only after it was read back from the log. With `dry_run`, the
/// change is only checked.
class settings_change_endpoint final : public operator_endpoint {
public:
  explicit settings_change_endpoint(frontend_context &Context)
      : operator_endpoint(Context, "POST", "/admin/settings") {}

private:
  using publish_result = tl::expected<log_offset, journal_error>;

  void handleFor(const team_id &Team, const http_request &Request,
                 http_responder &Responder,
                 boost::asio::yield_context Yield) override;
  void publish(const settings_change &Change, http_responder &Responder,
               boost::asio::yield_context Yield);
  void respond(const change_outcome &Outcome, http_responder &Responder);
  void check(const settings_change &Change, http_responder &Responder);
};

} // namespace

static int statusOf(change_outcome::verdict Verdict) {
  switch (Verdict) {
  case change_outcome::verdict::Accepted:
    return 200;
  case change_outcome::verdict::Conflict:
    return 409;
  case change_outcome::verdict::Forbidden:
    return 403;
  case change_outcome::verdict::Invalid:
    return 422;
  }
  return 500;
}

void settings_change_endpoint::respond(const change_outcome &Outcome,
                                       http_responder &Responder) {
  sendJson(Responder, statusOf(Outcome.result()), toJson(Outcome));
}

/// Sends the verdict that the change would get now, without writing it.
void settings_change_endpoint::check(const settings_change &Change,
                                     http_responder &Responder) {
  settings_state_machine StateMachine(*Context.Settings.state());
  respond(StateMachine.apply(StateMachine.state().applied().next(), Change),
          Responder);
}

void settings_change_endpoint::publish(const settings_change &Change,
                                       http_responder &Responder,
                                       boost::asio::yield_context Yield) {
  auto Known = Context.Settings.outcomeOf(Change.id());
  if (Known) {
    respond(*Known, Responder);
    return;
  }
  auto Offset = awaitCallback<publish_result>(
      Yield, [&](std::function<void(publish_result)> Done) {
        Context.Publisher.publish(Change, std::move(Done));
      });
  bool NotWritten = !Offset && (Offset.error() == journal_error::Unavailable ||
                                Offset.error() == journal_error::QueueFull);
  if (NotWritten) {
    sendError(Responder, 503, "log_unavailable",
              "The change was not written. Send it again later.");
    return;
  }
  for (auto Waited = milliseconds(0); Waited < ReadBackTimeout;
       Waited += ReadBackPollInterval) {
    auto Outcome = Context.Settings.outcomeOf(Change.id());
    if (Outcome) {
      respond(*Outcome, Responder);
      return;
    }
    awaitTime(Yield, ReadBackPollInterval);
  }
  sendError(Responder, 504, "change_in_doubt",
            "The change may take effect. Send it again with the same id.");
}

void settings_change_endpoint::handleFor(const team_id &Team,
                                         const http_request &Request,
                                         http_responder &Responder,
                                         boost::asio::yield_context Yield) {
  auto Json = parseJson(Request.body());
  if (!Json || !Json->is_object()) {
    sendError(Responder, 400, "bad_request", "The body is not a JSON object.");
    return;
  }
  bool DryRun = Json->value("dry_run", json(false)) == json(true);
  // The key determines the team; a team named in the body is ignored.
  (*Json)["team"] = Team.text();
  auto Change = settingsChangeFrom(*Json);
  if (!Change) {
    sendError(Responder, 400, "bad_request", Change.error().message());
    return;
  }
  if (Change->id().empty() || Change->edits().empty()) {
    sendError(Responder, 400, "bad_request",
              "A change needs an id and at least one edit.");
    return;
  }
  if (DryRun)
    check(*Change, Responder);
  else
    publish(*Change, Responder, Yield);
}

std::unique_ptr<endpoint>
bluebellkeel::makeSettingsChangeEndpoint(frontend_context &Context) {
  return std::make_unique<settings_change_endpoint>(Context);
}
