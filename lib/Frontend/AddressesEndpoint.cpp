#include "Endpoints.h"
#include "JsonResponse.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

namespace {

/// GET /v1/addresses: the addresses that a caller should use, and for how long.
class addresses_endpoint final : public endpoint {
public:
  explicit addresses_endpoint(frontend_context &Context) : Context(Context) {}

  bool matches(const http_request &Request) const override {
    return Request.method() == "GET" && Request.path() == "/v1/addresses";
  }
  void handle(const http_request & /*Request*/, http_responder &Responder,
              boost::asio::yield_context /*Yield*/) override {
    address_selection Selection = Context.InstanceStatus.selectAddresses();
    nlohmann::json Addresses = nlohmann::json::array();
    for (const auto &Address : Selection.addresses())
      Addresses.push_back(Address.text());
    sendJson(Responder, 200,
             {{"addresses", std::move(Addresses)},
              {"valid_for_s", Selection.lifetime().count()}});
  }

private:
  frontend_context &Context;
};

} // namespace

std::unique_ptr<endpoint>
bluebellkeel::makeAddressesEndpoint(frontend_context &Context) {
  return std::make_unique<addresses_endpoint>(Context);
}
