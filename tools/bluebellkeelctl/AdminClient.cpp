#include "AdminClient.h"
#include "bluebellkeel/Codec/JsonText.h"

using namespace bluebellkeel;

admin_client::admin_client(std::vector<network_address> Instances,
                           std::string TeamKey)
    : Instances(std::move(Instances)), TeamKey(std::move(TeamKey)),
      Client(http_timeouts(seconds(1), seconds(12), seconds(5))) {}

static exit_code exitCodeFor(int Status) {
  constexpr int Ok = 200;
  constexpr int Conflict = 409;
  constexpr int GatewayTimeout = 504;
  if (Status == Ok)
    return exit_code::Success;
  if (Status == Conflict)
    return exit_code::Conflict;
  if (Status == GatewayTimeout)
    return exit_code::InDoubt;
  return exit_code::Refused;
}

admin_reply admin_client::send(const http_request &Request) const {
  admin_reply Reply;
  for (const auto &Instance : Instances) {
    auto Response = Client.send(Instance, Request);
    if (!Response && Response.error() == http_error::ConnectFailed)
      continue;
    if (!Response) {
      bool Changes = Request.method() == "POST";
      Reply.Code = Changes ? exit_code::InDoubt : exit_code::Unreachable;
      return Reply;
    }
    Reply.Code = exitCodeFor(Response->status());
    Reply.Json = parseJson(Response->body()).value_or(nlohmann::json::object());
    return Reply;
  }
  return Reply;
}

admin_reply admin_client::get(const std::string &Target) const {
  auto Headers = http_headers().with("Authorization", "Bearer " + TeamKey);
  return send(http_request("GET", Target, Headers, ""));
}

admin_reply admin_client::post(const std::string &Target,
                               const std::string &Body) const {
  auto Headers = http_headers()
                     .with("Authorization", "Bearer " + TeamKey)
                     .with("Content-Type", "application/json");
  return send(http_request("POST", Target, Headers, Body));
}
