#ifndef BLUEBELLKEEL_LIB_FRONTEND_JSONANSWERS_H
#define BLUEBELLKEEL_LIB_FRONTEND_JSONANSWERS_H

#include "bluebellkeel/Http/HttpResponder.h"
#include "bluebellkeel/Relay/Refusal.h"
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace bluebellkeel {

/// Answers with \p Json.
void sendJson(http_responder &Responder, int Status, const nlohmann::json &Json,
              const http_headers &Headers = {});

/// Answers a request that is no work, such as an operator's, with an error.
void sendError(http_responder &Responder, int Status, std::string_view Code,
               std::string_view Message);

/// The usual form of an error, with a stable code and what is known of the
/// run: `not_run` is true, false, or "unknown".
nlohmann::json errorToJson(const refusal &Refusal);

/// Answers work with a refusal.
void sendRefusal(http_responder &Responder, const refusal &Refusal,
                 const http_headers &Headers = {});

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_JSONANSWERS_H
