#ifndef TOOLS_BLUEBELLKEELCTL_REQUESTTIMELINECOMMAND_H
#define TOOLS_BLUEBELLKEELCTL_REQUESTTIMELINECOMMAND_H

#include "Output.h"
#include <string>
#include <vector>

namespace bluebellkeel {

/// Tells from the structured logs of several instances what became of one
/// request: its own lines, and what the instances that took it came to believe
/// of its upstreams meanwhile.
class request_timeline_command {
public:
  /// Lines about an upstream count from so long before the first line of the
  /// request, in milliseconds of the instances' time of day.
  static constexpr std::int64_t LookBackMs = 3000;

  explicit request_timeline_command(const output &Output) : Output(Output) {}

  int run(const std::string &RequestId,
          const std::vector<std::string> &Files) const;

private:
  const output &Output;
};

} // namespace bluebellkeel

#endif // TOOLS_BLUEBELLKEELCTL_REQUESTTIMELINECOMMAND_H
