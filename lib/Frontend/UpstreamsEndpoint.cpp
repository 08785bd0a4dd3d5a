#include "Endpoints.h"
#include "OperatorEndpoint.h"
#include "bluebellkeel/Codec.h"

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// GET /admin/upstreams: the listed upstreams, their owners, and this
/// instance's load on each. Only an owner knows the phase.
class upstreams_endpoint final : public operator_endpoint {
public:
  explicit upstreams_endpoint(frontend_parts &Parts)
      : operator_endpoint(Parts, "GET", "/admin/upstreams") {}

private:
  void handleFor(const team_id &Team, const http_request &Request,
                 http_responder &Responder,
                 boost::asio::yield_context Yield) override;
};

} // namespace

void upstreams_endpoint::handleFor(const team_id & /*Team*/,
                                   const http_request & /*Request*/,
                                   http_responder &Responder,
                                   boost::asio::yield_context /*Yield*/) {
  json Upstreams = json::array();
  auto List = Parts.Upstreams.list();
  for (const auto &Record : List->records()) {
    json Form = toJson(Record);
    auto Owner = Parts.Facts.ownerOf(Record.id());
    Form["owner"] = Owner ? Owner->text() : "";
    if (Owner == Parts.Startup.Instance)
      Form["phase"] = std::string(toString(Parts.Facts.phaseOf(Record.id())));
    Form["in_flight_here"] = toJson(Parts.Grants.inFlight(Record.id()));
    Form["healthy_here"] = Parts.Health.healthy(Record.id());
    Upstreams.push_back(std::move(Form));
  }
  sendJson(Responder, 200,
           {{"answered_by", Parts.Startup.Instance.text()},
            {"upstreams", std::move(Upstreams)}});
}

std::unique_ptr<endpoint>
bluebellkeel::makeUpstreamsEndpoint(frontend_parts &Parts) {
  return std::make_unique<upstreams_endpoint>(Parts);
}
