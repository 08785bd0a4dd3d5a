#ifndef BLUEBELLKEEL_LIB_FRONTEND_AUTHENTICATION_H
#define BLUEBELLKEEL_LIB_FRONTEND_AUTHENTICATION_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/TeamId.h"
#include "bluebellkeel/Frontend/FrontendContext.h"
#include "bluebellkeel/Http/HttpRequest.h"
#include <optional>

namespace bluebellkeel {

/// Returns the client account whose API key is the bearer token of the request;
/// empty if there is none.
std::optional<account_id> authenticatedAccount(const frontend_context &Context,
                                               const http_request &Request);

/// Returns the team whose key is the bearer token of the request; empty if
/// there is none.
std::optional<team_id> teamOf(const frontend_context &Context,
                              const http_request &Request);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_AUTHENTICATION_H
