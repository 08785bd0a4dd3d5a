#ifndef BLUEBELLKEEL_LIB_FRONTEND_ENDPOINTS_H
#define BLUEBELLKEEL_LIB_FRONTEND_ENDPOINTS_H

#include "Endpoint.h"
#include "bluebellkeel/Frontend/FrontendParts.h"
#include <memory>

namespace bluebellkeel {

/// The endpoints, one a source file; each names its method and path there.
std::unique_ptr<endpoint> makeAddressesEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeTicketEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeChatEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeServiceEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeHealthEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeMetricsEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeSettingsReadEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeSettingsChangeEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeHistoryEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeInstancesEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeUpstreamsEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeVersionsEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeExplainEndpoint(frontend_parts &Parts);
std::unique_ptr<endpoint> makeBillsEndpoint(frontend_parts &Parts);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_ENDPOINTS_H
