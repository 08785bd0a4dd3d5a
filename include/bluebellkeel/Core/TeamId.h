#ifndef BLUEBELLKEEL_CORE_TEAMID_H
#define BLUEBELLKEEL_CORE_TEAMID_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Identifies a team of operators. Each team owns one subtree of the settings.
using team_id = identifier<struct team_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_TEAMID_H
