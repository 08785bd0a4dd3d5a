#ifndef BLUEBELLKEEL_POLICY_ROLLOUTSTATUSPAGE_H
#define BLUEBELLKEEL_POLICY_ROLLOUTSTATUSPAGE_H

#include "bluebellkeel/Core/LogPosition.h"
#include "bluebellkeel/Policy/RollOutStatus.h"
#include <vector>

namespace bluebellkeel {

/// The published statuses, and the end of the log that holds them.
class roll_out_status_page : public comparable<roll_out_status_page> {
public:
  roll_out_status_page(std::vector<roll_out_status> Statuses, log_position End)
      : Statuses(std::move(Statuses)), End(End) {}

  const std::vector<roll_out_status> &statuses() const { return Statuses; }
  log_position end() const { return End; }
  auto key() const { return std::tie(Statuses, End); }

private:
  std::vector<roll_out_status> Statuses;
  log_position End;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTSTATUSPAGE_H
