#include "Endpoints.h"
#include "OperatorEndpoint.h"
#include "bluebellkeel/Codec.h"

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// GET /admin/upstreams: the listed upstreams, their owners, and this
/// instance's load on each. The phase is shown only if this instance is the
/// owner, since no other instance knows it.
class upstreams_endpoint final : public operator_endpoint {
public:
  explicit upstreams_endpoint(frontend_context &Context)
      : operator_endpoint(Context, "GET", "/admin/upstreams") {}

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
  auto List = Context.Upstreams.list();
  for (const auto &Record : List->records()) {
    json Object = toJson(Record);
    auto Owner = Context.InstanceStatus.ownerOf(Record.id());
    Object["owner"] = Owner ? Owner->text() : "";
    if (Owner == Context.Startup.Instance)
      Object["phase"] =
          std::string(toString(Context.InstanceStatus.phaseOf(Record.id())));
    Object["in_flight_here"] = toJson(Context.Grants.inFlight(Record.id()));
    Object["healthy_here"] = Context.Health.healthy(Record.id());
    Upstreams.push_back(std::move(Object));
  }
  sendJson(Responder, 200,
           {{"answered_by", Context.Startup.Instance.text()},
            {"upstreams", std::move(Upstreams)}});
}

std::unique_ptr<endpoint>
bluebellkeel::makeUpstreamsEndpoint(frontend_context &Context) {
  return std::make_unique<upstreams_endpoint>(Context);
}
