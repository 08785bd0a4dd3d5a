#include "Endpoints.h"
#include "JsonResponse.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

namespace {

/// GET /healthz: 200 while the process runs. GET /readyz: 200 while this
/// instance accepts new work and does not direct callers to other instances.
class health_endpoint final : public endpoint {
public:
  explicit health_endpoint(frontend_context &Context) : Context(Context) {}

  bool matches(const http_request &Request) const override {
    return Request.method() == "GET" &&
           (Request.path() == "/healthz" || Request.path() == "/readyz");
  }
  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context /*Yield*/) override {
    constexpr int Ok = 200;
    constexpr int Unavailable = 503;
    if (Request.path() == "/healthz") {
      sendJson(Responder, Ok, {{"status", "running"}});
      return;
    }
    auto RefusalReason = Context.Gate.refusalReason();
    bool Ready = !RefusalReason && Context.InstanceStatus.serving();
    std::string Reason = RefusalReason ? std::string(toString(*RefusalReason))
                         : Ready       ? "ready"
                                       : "draining";
    sendJson(Responder, Ready ? Ok : Unavailable, {{"status", Reason}});
  }

private:
  frontend_context &Context;
};

} // namespace

std::unique_ptr<endpoint>
bluebellkeel::makeHealthEndpoint(frontend_context &Context) {
  return std::make_unique<health_endpoint>(Context);
}
