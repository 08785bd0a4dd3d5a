#ifndef BLUEBELLKEEL_GATEWAY_PLATFORMLOGPROVIDER_H
#define BLUEBELLKEEL_GATEWAY_PLATFORMLOGPROVIDER_H

#include "bluebellkeel/Duty/DutyPlatform.h"
#include "bluebellkeel/Journal/KeyedLog.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include "bluebellkeel/Policy/CrashRecordLog.h"
#include "bluebellkeel/Policy/RollOutStatusLog.h"
#include <boost/asio/spawn.hpp>
#include <memory>

namespace bluebellkeel {

/// Opens the platform's log for one coroutine, which is suspended during each
/// operation on the log.
class platform_log_provider {
public:
  virtual ~platform_log_provider() = default;

  virtual std::unique_ptr<keyed_log>
  openLog(boost::asio::yield_context Yield) = 0;
  virtual std::unique_ptr<roll_out_status_log>
  openStatusLog(boost::asio::yield_context Yield) = 0;
  virtual std::unique_ptr<crash_record_log>
  openCrashLog(boost::asio::yield_context Yield) = 0;
  /// Opens the platform's calls that are duties; must not be called in a
  /// deployment without duties.
  virtual std::unique_ptr<duty_platform>
  openDuties(boost::asio::yield_context Yield) = 0;
  /// Returns the record that registers this instance, under its key.
  virtual keyed_record registration(const instance_record &Record) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_PLATFORMLOGPROVIDER_H
