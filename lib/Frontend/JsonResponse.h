#ifndef BLUEBELLKEEL_LIB_FRONTEND_JSONRESPONSE_H
#define BLUEBELLKEEL_LIB_FRONTEND_JSONRESPONSE_H

#include "bluebellkeel/Http/HttpResponder.h"
#include "bluebellkeel/Relay/Refusal.h"
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace bluebellkeel {

/// Sends a response with \p Json as its body.
void sendJson(http_responder &Responder, int Status, const nlohmann::json &Json,
              const http_headers &Headers = {});

/// Sends an error response to a request that is not relayed, such as an
/// operator's.
void sendError(http_responder &Responder, int Status, std::string_view Code,
               std::string_view Message);

/// Returns the JSON form of a refusal, with a stable code. `not_run` is true,
/// false, or "unknown" and says whether the request did not run.
nlohmann::json errorToJson(const refusal &Refusal);

/// Sends a refusal as the response to a relayed request.
void sendRefusal(http_responder &Responder, const refusal &Refusal,
                 const http_headers &Headers = {});

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_JSONRESPONSE_H
