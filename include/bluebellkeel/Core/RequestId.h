#ifndef BLUEBELLKEEL_CORE_REQUESTID_H
#define BLUEBELLKEEL_CORE_REQUESTID_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Identifies one request of a client account. A resend has the same id.
using request_id = identifier<struct request_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_REQUESTID_H
