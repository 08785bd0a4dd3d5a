#include "Endpoints.h"
#include "OperatorEndpoint.h"
#include "bluebellkeel/Codec.h"

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// GET /admin/settings?path=PREFIX: the settings below a path, with the
/// revision of each subtree. API keys of other teams' accounts are hidden.
class settings_read_endpoint final : public operator_endpoint {
public:
  explicit settings_read_endpoint(frontend_context &Context)
      : operator_endpoint(Context, "GET", "/admin/settings") {}

private:
  void handleFor(const team_id &Team, const http_request &Request,
                 http_responder &Responder,
                 boost::asio::yield_context Yield) override;
};

} // namespace

static bool isOtherTeamsSecret(const settings_path &Path, const team_id &Team) {
  return Path.segments().back() == "api-key" && Path.team() != Team;
}

void settings_read_endpoint::handleFor(const team_id &Team,
                                       const http_request &Request,
                                       http_responder &Responder,
                                       boost::asio::yield_context /*Yield*/) {
  std::string Text = Request.query("path");
  std::optional<settings_path> Prefix = settings_path();
  if (!Text.empty() && Text != "/")
    Prefix = settings_path::parse(Text);
  if (!Prefix) {
    sendError(Responder, 400, "bad_request", "The path is malformed.");
    return;
  }
  auto State = Context.Settings.state();
  json Values = json::object();
  for (const auto &[Path, Value] : State->values()) {
    if (!Path.startsWith(*Prefix))
      continue;
    Values[Path.text()] =
        isOtherTeamsSecret(Path, Team) ? json("(hidden)") : toJson(Value);
  }
  json Revisions = json::object();
  for (const auto &[Owner, Revision] : State->revisions())
    Revisions[Owner.text()] = Revision.offset().value();
  sendJson(Responder, 200,
           {{"team", Team.text()},
            {"applied", State->applied().value()},
            {"revisions", std::move(Revisions)},
            {"values", std::move(Values)}});
}

std::unique_ptr<endpoint>
bluebellkeel::makeSettingsReadEndpoint(frontend_context &Context) {
  return std::make_unique<settings_read_endpoint>(Context);
}
