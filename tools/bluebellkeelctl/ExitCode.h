#ifndef TOOLS_BLUEBELLKEELCTL_EXITCODE_H
#define TOOLS_BLUEBELLKEELCTL_EXITCODE_H

namespace bluebellkeel {

/// Exit codes of bluebellkeelctl, documented in docs/operators/Commands.md.
enum class exit_code {
  Success = 0,
  /// The command line or an input file is invalid.
  BadUsage = 2,
  /// No instance answered.
  Unreachable = 3,
  /// The instance refused the request, or no log line matched it.
  Refused = 4,
  /// Another change was accepted first.
  Conflict = 5,
  /// The change may have taken effect; resending it with the same id is safe.
  InDoubt = 6,
};

} // namespace bluebellkeel

#endif // TOOLS_BLUEBELLKEELCTL_EXITCODE_H
