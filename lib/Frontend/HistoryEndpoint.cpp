#include "Endpoints.h"
#include "OperatorEndpoint.h"
#include "bluebellkeel/Codec.h"

using namespace bluebellkeel;

namespace {

/// GET /admin/history: recent changes with their verdicts, oldest first.
class history_endpoint final : public operator_endpoint {
public:
  explicit history_endpoint(frontend_context &Context)
      : operator_endpoint(Context, "GET", "/admin/history") {}

private:
  void handleFor(const team_id & /*Team*/, const http_request & /*Request*/,
                 http_responder &Responder,
                 boost::asio::yield_context /*Yield*/) override {
    nlohmann::json Changes = nlohmann::json::array();
    for (const auto &Outcome : Context.Settings.history())
      Changes.push_back(toJson(Outcome));
    sendJson(Responder, 200, {{"changes", std::move(Changes)}});
  }
};

} // namespace

std::unique_ptr<endpoint>
bluebellkeel::makeHistoryEndpoint(frontend_context &Context) {
  return std::make_unique<history_endpoint>(Context);
}
