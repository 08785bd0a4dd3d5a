#include "bluebellkeel/Duty/DutyRecord.h"
#include <algorithm>

using namespace bluebellkeel;

duty_record duty_record::nextTerm(const instance_id &NewHolder,
                                  std::uint64_t Era) const {
  /// Terms of one era stay far below the first token of the next.
  constexpr unsigned EraShift = 32;
  return {NewHolder, std::max(Token + 1, Era << EraShift), Reports};
}

duty_record duty_record::withReport(usage_report Report) const {
  std::vector<recorded_report> Newer = Reports;
  Newer.emplace_back(std::move(Report), /*Acknowledged=*/false);
  if (Newer.size() > MaxReports)
    Newer.erase(Newer.begin());
  return {Holder, Token, std::move(Newer)};
}

duty_record duty_record::withAcknowledged(std::uint64_t Window) const {
  std::vector<recorded_report> Newer = Reports;
  for (auto &Recorded : Newer) {
    if (Recorded.report().window() == Window)
      Recorded = recorded_report(Recorded.report(), /*Acknowledged=*/true);
  }
  return {Holder, Token, std::move(Newer)};
}
