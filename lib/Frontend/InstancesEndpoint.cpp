#include "Endpoints.h"
#include "OperatorEndpoint.h"
#include "bluebellkeel/Codec.h"

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// GET /admin/instances: the listed instances and what is known of each.
class instances_endpoint final : public operator_endpoint {
public:
  explicit instances_endpoint(frontend_parts &Parts)
      : operator_endpoint(Parts, "GET", "/admin/instances") {}

private:
  void handleFor(const team_id &Team, const http_request &Request,
                 http_responder &Responder,
                 boost::asio::yield_context Yield) override;
  json describePeer(const peer_status &Peer) const;
};

} // namespace

json instances_endpoint::describePeer(const peer_status &Peer) const {
  auto Age = std::chrono::duration_cast<milliseconds>(
      Parts.Clock.monotonicNow() - Peer.askedAt());
  json Form = {{"heard_ms_ago", Age.count()},
               {"serving", Peer.answer().serving()},
               {"settings_applied", Peer.answer().settingsApplied().value()}};
  if (Peer.answer().logAge())
    Form["settings_age_ms"] = Peer.answer().logAge()->count();
  return Form;
}

void instances_endpoint::handleFor(const team_id & /*Team*/,
                                   const http_request & /*Request*/,
                                   http_responder &Responder,
                                   boost::asio::yield_context /*Yield*/) {
  json Instances = json::array();
  auto List = Parts.Instances.list();
  for (const auto &Record : *List) {
    json Form = toJson(Record);
    auto Peer = Parts.Peers.find(Record.id());
    if (Peer)
      Form["peer"] = describePeer(*Peer);
    Instances.push_back(std::move(Form));
  }
  sendJson(Responder, 200,
           {{"answered_by", Parts.Startup.Instance.text()},
            {"verdict", std::string(toString(Parts.Facts.verdict()))},
            {"serving", Parts.Facts.serving()},
            {"settings_applied", Parts.Settings.state()->applied().value()},
            {"instances", std::move(Instances)}});
}

std::unique_ptr<endpoint>
bluebellkeel::makeInstancesEndpoint(frontend_parts &Parts) {
  return std::make_unique<instances_endpoint>(Parts);
}
