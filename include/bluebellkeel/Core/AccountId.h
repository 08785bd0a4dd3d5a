#ifndef BLUEBELLKEEL_CORE_ACCOUNTID_H
#define BLUEBELLKEEL_CORE_ACCOUNTID_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Names a client account, as the operators created it.
using account_id = identifier<struct account_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_ACCOUNTID_H
