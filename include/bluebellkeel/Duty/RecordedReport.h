#ifndef BLUEBELLKEEL_DUTY_RECORDEDREPORT_H
#define BLUEBELLKEEL_DUTY_RECORDEDREPORT_H

#include "bluebellkeel/Duty/UsageReport.h"

namespace bluebellkeel {

/// A usage report in the record of the duties. Once recorded, it is sent as it
/// is or not at all.
class recorded_report : public comparable<recorded_report> {
public:
  recorded_report(usage_report Report, bool Acknowledged)
      : Report(std::move(Report)), Acknowledged(Acknowledged) {}

  const usage_report &report() const { return Report; }
  /// True if the platform has accepted the report.
  bool acknowledged() const { return Acknowledged; }
  auto key() const { return std::tie(Report, Acknowledged); }

private:
  usage_report Report;
  bool Acknowledged;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_RECORDEDREPORT_H
