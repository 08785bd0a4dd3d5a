#ifndef BLUEBELLKEEL_DUTY_DUTYTIMES_H
#define BLUEBELLKEEL_DUTY_DUTYTIMES_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// The times that bind the duties.
class duty_times : public comparable<duty_times> {
public:
  duty_times() = default;
  duty_times(milliseconds Lease, milliseconds Window, milliseconds ReportDelay)
      : Lease(Lease), Window(Window), ReportDelay(ReportDelay) {}

  /// Time within which the duties must not go from one holder to another and
  /// back.
  milliseconds lease() const { return Lease; }
  /// Length of a window of usage; 0 if usage is not reported.
  milliseconds window() const { return Window; }
  /// Time after the end of a window by which its report is due.
  milliseconds reportDelay() const { return ReportDelay; }

  std::uint64_t windowAt(wall_time Time) const;
  wall_time endOf(std::uint64_t Number) const;
  auto key() const { return std::tie(Lease, Window, ReportDelay); }

private:
  milliseconds Lease{0};
  milliseconds Window{0};
  milliseconds ReportDelay{0};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_DUTYTIMES_H
