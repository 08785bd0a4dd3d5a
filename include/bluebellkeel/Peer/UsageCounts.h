#ifndef BLUEBELLKEEL_PEER_USAGECOUNTS_H
#define BLUEBELLKEEL_PEER_USAGECOUNTS_H

#include "bluebellkeel/Duty/DutyProgress.h"
#include "bluebellkeel/Duty/UsageReport.h"
#include "bluebellkeel/Scale/ServiceWork.h"
#include <vector>

namespace bluebellkeel {

/// The sender's counts of the windows whose reports may not be recorded yet,
/// the work that it has at the services whose upstreams are ordered, and the
/// progress of the duties that it knows. The answer is a duty_progress.
class usage_counts : public comparable<usage_counts> {
public:
  usage_counts() = default;
  usage_counts(std::vector<usage_report> Reports,
               std::vector<service_work> Work, duty_progress Progress)
      : Reports(std::move(Reports)), Work(std::move(Work)),
        Progress(std::move(Progress)) {}

  const std::vector<usage_report> &reports() const { return Reports; }
  const std::vector<service_work> &work() const { return Work; }
  const duty_progress &progress() const { return Progress; }
  auto key() const { return std::tie(Reports, Work, Progress); }

private:
  std::vector<usage_report> Reports;
  std::vector<service_work> Work;
  duty_progress Progress;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_USAGECOUNTS_H
