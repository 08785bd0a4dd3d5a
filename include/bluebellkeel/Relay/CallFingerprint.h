#ifndef BLUEBELLKEEL_RELAY_CALLFINGERPRINT_H
#define BLUEBELLKEEL_RELAY_CALLFINGERPRINT_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Policy/Fingerprint.h"
#include "bluebellkeel/Relay/ForwardCall.h"

namespace bluebellkeel {

/// Returns the fingerprint of everything in \p Call that selects the work of an
/// upstream: the method, the host, the path, the query and the body, and the
/// account that it is done for. Header fields are left out, since a caller who
/// repeats a request changes some of them, such as its id and its deadline.
fingerprint fingerprintOf(const forward_call &Call, const account_id &Account);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_CALLFINGERPRINT_H
