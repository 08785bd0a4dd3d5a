#ifndef TOOLS_BLUEBELLKEELCTL_ADMINREPLY_H
#define TOOLS_BLUEBELLKEELCTL_ADMINREPLY_H

#include "ExitCode.h"
#include <nlohmann/json.hpp>

namespace bluebellkeel {

/// Reply of an instance to an admin request, with the matching exit code.
struct admin_reply {
  exit_code Code = exit_code::Unreachable;
  nlohmann::json Json;
};

} // namespace bluebellkeel

#endif // TOOLS_BLUEBELLKEELCTL_ADMINREPLY_H
