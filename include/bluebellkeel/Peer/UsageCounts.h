#ifndef BLUEBELLKEEL_PEER_USAGECOUNTS_H
#define BLUEBELLKEEL_PEER_USAGECOUNTS_H

#include "bluebellkeel/Duty/UsageReport.h"
#include <vector>

namespace bluebellkeel {

/// The sender's counts of the windows whose reports may not be recorded yet.
/// The answer is a duty_progress.
class usage_counts : public comparable<usage_counts> {
public:
  usage_counts() = default;
  explicit usage_counts(std::vector<usage_report> Reports)
      : Reports(std::move(Reports)) {}

  const std::vector<usage_report> &reports() const { return Reports; }
  const std::vector<usage_report> &key() const { return Reports; }

private:
  std::vector<usage_report> Reports;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_USAGECOUNTS_H
