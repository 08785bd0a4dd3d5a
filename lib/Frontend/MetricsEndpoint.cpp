#include "Endpoints.h"

using namespace bluebellkeel;

namespace {

/// GET /metrics: the metrics in the Prometheus text format.
class metrics_endpoint final : public endpoint {
public:
  explicit metrics_endpoint(frontend_context &Context) : Context(Context) {}

  bool matches(const http_request &Request) const override {
    return Request.method() == "GET" && Request.path() == "/metrics";
  }
  void handle(const http_request & /*Request*/, http_responder &Responder,
              boost::asio::yield_context /*Yield*/) override {
    auto Headers =
        http_headers().with("Content-Type", "text/plain; version=0.0.4");
    Responder.send(http_response(200, Headers, Context.Metrics.render()));
  }

private:
  frontend_context &Context;
};

} // namespace

std::unique_ptr<endpoint>
bluebellkeel::makeMetricsEndpoint(frontend_context &Context) {
  return std::make_unique<metrics_endpoint>(Context);
}
