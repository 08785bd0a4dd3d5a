#ifndef TOOLS_BLUEBELLKEELCTL_EXITCODE_H
#define TOOLS_BLUEBELLKEELCTL_EXITCODE_H

namespace bluebellkeel {

/// What bluebellkeelctl returns; documented in docs/operators/Commands.md.
enum class exit_code {
  Success = 0,
  /// The command line makes no sense.
  BadUsage = 2,
  /// No instance answered.
  Unreachable = 3,
  /// The system refused.
  Refused = 4,
  /// Another change came first.
  Conflict = 5,
  /// The change may take effect; send it again with the same id.
  InDoubt = 6,
};

} // namespace bluebellkeel

#endif // TOOLS_BLUEBELLKEELCTL_EXITCODE_H
