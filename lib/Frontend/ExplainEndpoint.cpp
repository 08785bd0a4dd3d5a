#include "Endpoints.h"
#include "OperatorEndpoint.h"

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// GET /admin/explain?account=A&model=M: how this instance would now route a
/// request of that client account, and why.
class explain_endpoint final : public operator_endpoint {
public:
  explicit explain_endpoint(frontend_context &Context)
      : operator_endpoint(Context, "GET", "/admin/explain") {}

private:
  void handleFor(const team_id &Team, const http_request &Request,
                 http_responder &Responder,
                 boost::asio::yield_context Yield) override;
  json describe(const plan_step &Step, const routing_settings &Settings);
};

} // namespace

json explain_endpoint::describe(const plan_step &Step,
                                const routing_settings &Settings) {
  json Upstreams = json::array();
  auto Found =
      Context.Candidates.find(pool_id(Step.version().text()), Settings, {},
                              Context.Chooser, fingerprint("explain"));
  for (const auto &Upstream : Found)
    Upstreams.push_back(
        {{"upstream", Upstream.id().text()},
         {"data_centre", Upstream.dataCentre().text()},
         {"in_flight_here", Context.Grants.inFlight(Upstream.id()).requests()},
         {"healthy_here", Context.Health.healthy(Upstream.id())}});
  return {{"version", Step.version().text()},
          {"cost", Step.cost()},
          {"quality_lower_bound", Step.quality()},
          {"meets_target", Step.meetsTarget()},
          {"upstreams", std::move(Upstreams)}};
}

void explain_endpoint::handleFor(const team_id & /*Team*/,
                                 const http_request &Request,
                                 http_responder &Responder,
                                 boost::asio::yield_context /*Yield*/) {
  auto Settings = Context.Settings.routing();
  const auto *Account = Settings->account(account_id(Request.query("account")));
  if (!Account) {
    sendError(Responder, 404, "unknown_account",
              "There is no such client account.");
    return;
  }
  std::string Model = Request.query("model");
  if (Model.empty())
    Model = route_query::AnyModel;
  json Explanation = {{"account", Account->id().text()},
                      {"model", Model},
                      {"quality_target", Account->qualityTarget()}};
  auto RefusalReason = Context.Gate.refusalReason();
  if (RefusalReason)
    Explanation["instance_refuses"] = std::string(toString(*RefusalReason));
  auto Plan = Context.Planner.plan(
      route_query(*Settings, *Account, Model, std::nullopt));
  if (!Plan) {
    Explanation["refused"] = std::string(toString(Plan.error()));
    sendJson(Responder, 200, Explanation);
    return;
  }
  Explanation["steps"] = json::array();
  for (const auto &Step : Plan->steps())
    Explanation["steps"].push_back(describe(Step, *Settings));
  sendJson(Responder, 200, Explanation);
}

std::unique_ptr<endpoint>
bluebellkeel::makeExplainEndpoint(frontend_context &Context) {
  return std::make_unique<explain_endpoint>(Context);
}
