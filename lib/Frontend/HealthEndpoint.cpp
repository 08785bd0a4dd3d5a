#include "Endpoints.h"
#include "JsonAnswers.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

namespace {

/// GET /healthz: the process runs. GET /readyz: it takes new work.
class health_endpoint final : public endpoint {
public:
  explicit health_endpoint(frontend_parts &Parts) : Parts(Parts) {}

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
    auto Closed = Parts.Gate.refusalReason();
    bool Ready = !Closed && Parts.Facts.serving();
    std::string Reason = Closed  ? std::string(toString(*Closed))
                         : Ready ? "ready"
                                 : "draining";
    sendJson(Responder, Ready ? Ok : Unavailable, {{"status", Reason}});
  }

private:
  frontend_parts &Parts;
};

} // namespace

std::unique_ptr<endpoint>
bluebellkeel::makeHealthEndpoint(frontend_parts &Parts) {
  return std::make_unique<health_endpoint>(Parts);
}
