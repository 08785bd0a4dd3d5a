#ifndef TOOLS_BLUEBELLKEELCTL_REQUESTTIMELINECOMMAND_H
#define TOOLS_BLUEBELLKEELCTL_REQUESTTIMELINECOMMAND_H

#include "Output.h"
#include <string>
#include <vector>

namespace bluebellkeel {

/// Prints the timeline of one request from the structured logs of several
/// instances: the request's own lines, and the lines without a request id that
/// the instances which handled it logged in the same period, except those about
/// other upstreams.
class request_timeline_command {
public:
  /// Lines without a request id are included from this many milliseconds of
  /// wall clock time before the first line of the request.
  static constexpr std::int64_t LookBackMs = 3000;

  explicit request_timeline_command(const output &Output) : Output(Output) {}

  /// Returns the exit code: BadUsage if a file cannot be read, Refused if no
  /// line has the id \p RequestId.
  int run(const std::string &RequestId,
          const std::vector<std::string> &Files) const;

private:
  const output &Output;
};

} // namespace bluebellkeel

#endif // TOOLS_BLUEBELLKEELCTL_REQUESTTIMELINECOMMAND_H
