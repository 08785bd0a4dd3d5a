#ifndef BLUEBELLKEEL_CORE_VERSIONID_H
#define BLUEBELLKEEL_CORE_VERSIONID_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Identifies a version of a model, written `model@version`.
using version_id = identifier<struct version_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_VERSIONID_H
