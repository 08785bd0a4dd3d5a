#ifndef BLUEBELLKEEL_PEER_USAGECOUNTS_H
#define BLUEBELLKEEL_PEER_USAGECOUNTS_H

#include "bluebellkeel/Duty/UsageReport.h"
#include "bluebellkeel/Scale/ServiceWork.h"
#include <vector>

namespace bluebellkeel {

/// The sender's counts of the windows whose reports may not be recorded yet,
/// and the work that it has at the services whose upstreams are ordered. The
/// answer is a duty_progress.
class usage_counts : public comparable<usage_counts> {
public:
  usage_counts() = default;
  explicit usage_counts(std::vector<usage_report> Reports,
                        std::vector<service_work> Work = {})
      : Reports(std::move(Reports)), Work(std::move(Work)) {}

  const std::vector<usage_report> &reports() const { return Reports; }
  const std::vector<service_work> &work() const { return Work; }
  auto key() const { return std::tie(Reports, Work); }

private:
  std::vector<usage_report> Reports;
  std::vector<service_work> Work;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_USAGECOUNTS_H
