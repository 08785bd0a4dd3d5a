#include "Endpoints.h"
#include "OperatorEndpoint.h"
#include "bluebellkeel/Codec.h"

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// GET /admin/instances: the listed instances with the last heartbeat of each.
class instances_endpoint final : public operator_endpoint {
public:
  explicit instances_endpoint(frontend_context &Context)
      : operator_endpoint(Context, "GET", "/admin/instances") {}

private:
  void handleFor(const team_id &Team, const http_request &Request,
                 http_responder &Responder,
                 boost::asio::yield_context Yield) override;
  json describePeer(const peer_status &Peer) const;
};

} // namespace

json instances_endpoint::describePeer(const peer_status &Peer) const {
  auto Age = std::chrono::duration_cast<milliseconds>(
      Context.Clock.monotonicNow() - Peer.requestedAt());
  json Object = {{"heard_ms_ago", Age.count()},
                 {"serving", Peer.answer().serving()},
                 {"settings_applied", Peer.answer().settingsApplied().value()}};
  if (Peer.answer().logAge())
    Object["settings_age_ms"] = Peer.answer().logAge()->count();
  return Object;
}

void instances_endpoint::handleFor(const team_id & /*Team*/,
                                   const http_request & /*Request*/,
                                   http_responder &Responder,
                                   boost::asio::yield_context /*Yield*/) {
  json Instances = json::array();
  auto List = Context.Instances.list();
  for (const auto &Record : *List) {
    json Object = toJson(Record);
    auto Peer = Context.Peers.find(Record.id());
    if (Peer)
      Object["peer"] = describePeer(*Peer);
    Instances.push_back(std::move(Object));
  }
  sendJson(
      Responder, 200,
      {{"answered_by", Context.Startup.Instance.text()},
       {"verdict", std::string(toString(Context.InstanceStatus.verdict()))},
       {"serving", Context.InstanceStatus.serving()},
       {"settings_applied", Context.Settings.state()->applied().value()},
       {"instances", std::move(Instances)}});
}

std::unique_ptr<endpoint>
bluebellkeel::makeInstancesEndpoint(frontend_context &Context) {
  return std::make_unique<instances_endpoint>(Context);
}
