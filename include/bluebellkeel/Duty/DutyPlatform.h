#ifndef BLUEBELLKEEL_DUTY_DUTYPLATFORM_H
#define BLUEBELLKEEL_DUTY_DUTYPLATFORM_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Duty/DutyOutcome.h"
#include "bluebellkeel/Duty/UsageReport.h"
#include "bluebellkeel/Scale/ScaleOrder.h"

namespace bluebellkeel {

/// The platform's calls that are the duty of one instance at a time. They wait
/// for the answer.
class duty_platform {
public:
  virtual ~duty_platform() = default;

  /// Reports the usage of one window in the name of \p Holder, whose term has
  /// the fence token \p Token.
  virtual duty_outcome reportUsage(const instance_id &Holder,
                                   std::uint64_t Token,
                                   const usage_report &Report) = 0;
  /// Orders a number of upstreams, likewise.
  virtual duty_outcome orderUpstreams(const instance_id &Holder,
                                      std::uint64_t Token,
                                      const scale_order &Order) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_DUTYPLATFORM_H
