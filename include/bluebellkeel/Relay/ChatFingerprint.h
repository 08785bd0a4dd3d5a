#ifndef BLUEBELLKEEL_RELAY_CHATFINGERPRINT_H
#define BLUEBELLKEEL_RELAY_CHATFINGERPRINT_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Policy/Fingerprint.h"
#include <string_view>

namespace bluebellkeel {

/// Returns the fingerprint of a chat request of \p Account. It covers the whole
/// \p Body, since an upstream acts on all of its fields and not only on the
/// messages.
fingerprint chatFingerprint(const account_id &Account, std::string_view Body);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_CHATFINGERPRINT_H
