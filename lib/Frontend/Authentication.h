#ifndef BLUEBELLKEEL_LIB_FRONTEND_AUTHENTICATION_H
#define BLUEBELLKEEL_LIB_FRONTEND_AUTHENTICATION_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/TeamId.h"
#include "bluebellkeel/Frontend/FrontendContext.h"
#include "bluebellkeel/Http/HttpRequest.h"
#include <optional>

namespace bluebellkeel {

/// The client account whose API key the request shows as a bearer token.
std::optional<account_id> authenticatedAccount(const frontend_context &Context,
                                               const http_request &Request);

/// The team whose key the request shows as a bearer token.
std::optional<team_id> teamOf(const frontend_context &Context,
                              const http_request &Request);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_AUTHENTICATION_H
