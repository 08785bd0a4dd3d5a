#ifndef BLUEBELLKEEL_LIB_FRONTEND_ENDPOINTS_H
#define BLUEBELLKEEL_LIB_FRONTEND_ENDPOINTS_H

#include "Endpoint.h"
#include "bluebellkeel/Frontend/FrontendContext.h"
#include <memory>

namespace bluebellkeel {

/// Factories of the endpoints. The source file of each endpoint states its
/// method and path.
std::unique_ptr<endpoint> makeAddressesEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeTicketEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeChatEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeServiceEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeHealthEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeMetricsEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeSettingsReadEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeSettingsChangeEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeHistoryEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeInstancesEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeUpstreamsEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeVersionsEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeExplainEndpoint(frontend_context &Context);
std::unique_ptr<endpoint> makeBillsEndpoint(frontend_context &Context);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_ENDPOINTS_H
