#ifndef BLUEBELLKEEL_POLICY_REQUESTCRASHREPORT_H
#define BLUEBELLKEEL_POLICY_REQUESTCRASHREPORT_H

#include "bluebellkeel/Policy/RequestCrash.h"
#include "bluebellkeel/Policy/RequestSuccess.h"
#include <vector>

namespace bluebellkeel {

/// What an instance tells its peers about requests that crash upstreams.
class request_crash_report : public comparable<request_crash_report> {
public:
  request_crash_report() = default;
  request_crash_report(std::vector<request_crash> Crashes,
                       std::vector<request_success> Successes)
      : Crashes(std::move(Crashes)), Successes(std::move(Successes)) {}

  const std::vector<request_crash> &crashes() const { return Crashes; }
  /// Returns the latest successes of requests that crashes had been attributed
  /// to.
  const std::vector<request_success> &successes() const { return Successes; }
  auto key() const { return std::tie(Crashes, Successes); }

private:
  std::vector<request_crash> Crashes;
  std::vector<request_success> Successes;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_REQUESTCRASHREPORT_H
