#ifndef BLUEBELLKEEL_PEER_USAGECOUNTS_H
#define BLUEBELLKEEL_PEER_USAGECOUNTS_H

#include "bluebellkeel/Duty/DutyProgress.h"
#include "bluebellkeel/Duty/UsageReport.h"
#include <vector>

namespace bluebellkeel {

/// The sender's counts of the windows whose reports may not be recorded yet,
/// and the progress of the duties that it knows. The answer is a duty_progress.
class usage_counts : public comparable<usage_counts> {
public:
  usage_counts() = default;
  usage_counts(std::vector<usage_report> Reports, duty_progress Progress)
      : Reports(std::move(Reports)), Progress(std::move(Progress)) {}

  const std::vector<usage_report> &reports() const { return Reports; }
  const duty_progress &progress() const { return Progress; }
  auto key() const { return std::tie(Reports, Progress); }

private:
  std::vector<usage_report> Reports;
  duty_progress Progress;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_USAGECOUNTS_H
