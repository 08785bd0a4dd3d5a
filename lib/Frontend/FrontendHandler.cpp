#include "bluebellkeel/Frontend/FrontendHandler.h"
#include "Endpoints.h"
#include "JsonResponse.h"

using namespace bluebellkeel;

frontend_handler::frontend_handler(frontend_context &Context) {
  for (auto *Make :
       {makeChatEndpoint, makeServiceEndpoint, makeTicketEndpoint,
        makeAddressesEndpoint, makeHealthEndpoint, makeMetricsEndpoint,
        makeSettingsReadEndpoint, makeSettingsChangeEndpoint,
        makeHistoryEndpoint, makeInstancesEndpoint, makeUpstreamsEndpoint,
        makeVersionsEndpoint, makeExplainEndpoint, makeBillsEndpoint})
    Endpoints.push_back(Make(Context));
}

frontend_handler::~frontend_handler() = default;

void frontend_handler::handle(const http_request &Request,
                              http_responder &Responder,
                              boost::asio::yield_context Yield) {
  for (auto &Endpoint : Endpoints) {
    if (!Endpoint->matches(Request))
      continue;
    Endpoint->handle(Request, Responder, Yield);
    return;
  }
  sendError(Responder, 404, "not_found", "There is no such path or method.");
}
