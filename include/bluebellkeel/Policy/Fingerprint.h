#ifndef BLUEBELLKEEL_POLICY_FINGERPRINT_H
#define BLUEBELLKEEL_POLICY_FINGERPRINT_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Identifies the content of a request, or the prefix of its prompt.
using fingerprint = identifier<struct fingerprint_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_FINGERPRINT_H
