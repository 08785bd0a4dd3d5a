#ifndef TOOLS_BLUEBELLKEELCTL_ADMINREPLY_H
#define TOOLS_BLUEBELLKEELCTL_ADMINREPLY_H

#include "ExitCode.h"
#include <nlohmann/json.hpp>

namespace bluebellkeel {

/// What an instance answered to an operator, and the exit code for it.
struct admin_reply {
  exit_code Code = exit_code::Unreachable;
  nlohmann::json Json;
};

} // namespace bluebellkeel

#endif // TOOLS_BLUEBELLKEELCTL_ADMINREPLY_H
