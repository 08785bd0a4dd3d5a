#ifndef BLUEBELLKEEL_CORE_ACCOUNTID_H
#define BLUEBELLKEEL_CORE_ACCOUNTID_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Identifies a client account by the name that operators gave it.
using account_id = identifier<struct account_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_ACCOUNTID_H
