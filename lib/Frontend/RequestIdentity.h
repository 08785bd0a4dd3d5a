#ifndef BLUEBELLKEEL_LIB_FRONTEND_REQUESTIDENTITY_H
#define BLUEBELLKEEL_LIB_FRONTEND_REQUESTIDENTITY_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Core/RequestId.h"
#include "bluebellkeel/Http/HttpRequest.h"
#include <optional>

namespace bluebellkeel {

/// The id of the request: the caller's Idempotency-Key, which a resend repeats
/// and which is billed once, or a new one. Empty for a key that is too long or
/// has other characters than letters, digits, `.`, `_`, `:` and `-`.
std::optional<request_id> requestIdOf(const http_request &Request,
                                      random_source &Random);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_REQUESTIDENTITY_H
