#include "bluebellkeel/Duty/DutyTimes.h"

using namespace bluebellkeel;

std::uint64_t duty_times::windowAt(wall_time Time) const {
  auto Since =
      std::chrono::duration_cast<milliseconds>(Time.time_since_epoch());
  return static_cast<std::uint64_t>(Since.count() / Window.count());
}

wall_time duty_times::endOf(std::uint64_t Number) const {
  return wall_time(static_cast<long>(Number + 1) * Window);
}
