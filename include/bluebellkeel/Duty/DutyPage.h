#ifndef BLUEBELLKEEL_DUTY_DUTYPAGE_H
#define BLUEBELLKEEL_DUTY_DUTYPAGE_H

#include "bluebellkeel/Core/LogPosition.h"
#include "bluebellkeel/Duty/DutyRecord.h"

namespace bluebellkeel {

/// The newest record of the duties, and the position at which their topic ends.
class duty_page : public comparable<duty_page> {
public:
  duty_page(duty_record Record, log_position End)
      : Record(std::move(Record)), End(End) {}

  /// An empty record if none was ever written.
  const duty_record &record() const { return Record; }
  const log_position &end() const { return End; }
  auto key() const { return std::tie(Record, End); }

private:
  duty_record Record;
  log_position End;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_DUTYPAGE_H
