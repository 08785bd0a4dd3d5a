#ifndef BLUEBELLKEEL_POLICY_FINGERPRINT_H
#define BLUEBELLKEEL_POLICY_FINGERPRINT_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Stands for the content of a request, or for the start of its prompt.
using fingerprint = identifier<struct fingerprint_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_FINGERPRINT_H
