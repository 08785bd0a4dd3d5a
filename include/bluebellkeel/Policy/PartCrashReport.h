#ifndef BLUEBELLKEEL_POLICY_PARTCRASHREPORT_H
#define BLUEBELLKEEL_POLICY_PARTCRASHREPORT_H

#include "bluebellkeel/Policy/PartCrash.h"
#include "bluebellkeel/Policy/PartInterruption.h"
#include "bluebellkeel/Policy/PartSuccess.h"

namespace bluebellkeel {

/// What an instance tells its peers about crashes and the parts of prompts.
class part_crash_report : public comparable<part_crash_report> {
public:
  part_crash_report() = default;
  part_crash_report(std::vector<part_crash> Crashes,
                    std::vector<part_success> Successes,
                    std::vector<part_interruption> Interruptions = {})
      : Crashes(std::move(Crashes)), Successes(std::move(Successes)),
        Interruptions(std::move(Interruptions)) {}

  const std::vector<part_crash> &crashes() const { return Crashes; }
  /// Returns the latest successes of parts that a crash was attributed to.
  const std::vector<part_success> &successes() const { return Successes; }
  const std::vector<part_interruption> &interruptions() const {
    return Interruptions;
  }
  auto key() const { return std::tie(Crashes, Successes, Interruptions); }

private:
  std::vector<part_crash> Crashes;
  std::vector<part_success> Successes;
  std::vector<part_interruption> Interruptions;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PARTCRASHREPORT_H
