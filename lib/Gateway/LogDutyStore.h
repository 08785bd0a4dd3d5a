#ifndef BLUEBELLKEEL_LIB_GATEWAY_LOGDUTYSTORE_H
#define BLUEBELLKEEL_LIB_GATEWAY_LOGDUTYSTORE_H

#include "bluebellkeel/Duty/DutyStore.h"
#include "bluebellkeel/Journal/KeyedLog.h"

namespace bluebellkeel {

/// Keeps the record of the duties in a topic of the platform's log.
class log_duty_store final : public duty_store {
public:
  explicit log_duty_store(keyed_log &Log) : Log(Log) {}

  tl::expected<duty_page, journal_error> read() override;
  tl::expected<log_position, journal_error>
  write(const duty_record &Record, const log_position &At) override;

private:
  keyed_log &Log;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_LOGDUTYSTORE_H
