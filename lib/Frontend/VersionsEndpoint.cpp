#include "Endpoints.h"
#include "OperatorEndpoint.h"

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// GET /admin/versions: the versions with their stage, cost and quality
/// estimate.
class versions_endpoint final : public operator_endpoint {
public:
  explicit versions_endpoint(frontend_context &Context)
      : operator_endpoint(Context, "GET", "/admin/versions") {}

private:
  void handleFor(const team_id &Team, const http_request &Request,
                 http_responder &Responder,
                 boost::asio::yield_context Yield) override;
};

} // namespace

void versions_endpoint::handleFor(const team_id & /*Team*/,
                                  const http_request & /*Request*/,
                                  http_responder &Responder,
                                  boost::asio::yield_context /*Yield*/) {
  json Versions = json::array();
  auto Settings = Context.Settings.routing();
  for (const auto &[Id, Version] : Settings->versions()) {
    quality_counts Counts = Context.Quality.recent(Id);
    quality_estimate Estimate(Version.quality(), Counts);
    Versions.push_back(
        {{"version", Id.text()},
         {"stage", std::string(toString(Version.stage()))},
         {"cost", Version.cost()},
         {"share", Version.share()},
         {"expected_quality", Version.quality()},
         {"rated_good", Counts.good()},
         {"rated_bad", Counts.bad()},
         {"quality_lower_bound", Estimate.lowerBound()},
         {"roll_out_stopped", roll_out_gate::stopped(Version, Counts)}});
  }
  sendJson(Responder, 200, {{"versions", std::move(Versions)}});
}

std::unique_ptr<endpoint>
bluebellkeel::makeVersionsEndpoint(frontend_context &Context) {
  return std::make_unique<versions_endpoint>(Context);
}
