#ifndef BLUEBELLKEEL_DUTY_DUTYRECORD_H
#define BLUEBELLKEEL_DUTY_DUTYRECORD_H

#include "bluebellkeel/Duty/DutyProgress.h"
#include "bluebellkeel/Duty/RecordedReport.h"
#include <vector>

namespace bluebellkeel {

/// The record of the duties in the platform's log: who holds them, and what was
/// decided. Each term has a fence token above those of all earlier terms.
class duty_record : public comparable<duty_record> {
public:
  /// Number of windows whose reports are kept.
  static constexpr std::size_t MaxReports = 8;

  duty_record() = default;
  duty_record(instance_id Holder, std::uint64_t Token,
              std::vector<recorded_report> Reports)
      : Holder(std::move(Holder)), Token(Token), Reports(std::move(Reports)) {}

  /// Empty if the last holder has released the duties.
  const instance_id &holder() const { return Holder; }
  std::uint64_t token() const { return Token; }
  /// In the order of their windows.
  const std::vector<recorded_report> &reports() const { return Reports; }
  std::uint64_t newestWindow() const {
    return Reports.empty() ? 0 : Reports.back().report().window();
  }
  duty_progress progress() const { return {Token, newestWindow(), Holder}; }

  /// Returns the record of the next term, in a log of the era \p Era: offsets
  /// and records may be lost when a log is restored, and the era rises then.
  duty_record nextTerm(const instance_id &NewHolder, std::uint64_t Era) const;
  duty_record released() const { return {instance_id(), Token, Reports}; }
  /// Returns the record with one more report, without the oldest ones.
  duty_record withReport(usage_report Report) const;
  duty_record withAcknowledged(std::uint64_t Window) const;
  auto key() const { return std::tie(Holder, Token, Reports); }

private:
  instance_id Holder;
  std::uint64_t Token = 0;
  std::vector<recorded_report> Reports;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_DUTYRECORD_H
