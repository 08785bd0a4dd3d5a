#ifndef BLUEBELLKEEL_LIB_FRONTEND_REQUESTIDENTITY_H
#define BLUEBELLKEEL_LIB_FRONTEND_REQUESTIDENTITY_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Core/RequestId.h"
#include "bluebellkeel/Http/HttpRequest.h"
#include <optional>

namespace bluebellkeel {

/// Returns the id of the request: the caller's Idempotency-Key, or a random id
/// if there is none. A resend repeats the key, and each key is billed once.
/// Empty if the key is too long or has characters other than letters, digits,
/// `.`, `_`, `:` and `-`.
std::optional<request_id> requestIdOf(const http_request &Request,
                                      random_source &Random);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_REQUESTIDENTITY_H
