#ifndef BLUEBELLKEEL_UPSTREAM_GRANTRULES_H
#define BLUEBELLKEEL_UPSTREAM_GRANTRULES_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// Time limits of grants.
class grant_rules : public comparable<grant_rules> {
public:
  static constexpr milliseconds DefaultTerm{2000};
  static constexpr milliseconds DefaultWarmStep{1000};
  static constexpr milliseconds DefaultMaxReportAge{3000};

  grant_rules() = default;
  grant_rules(milliseconds Term, milliseconds WarmStep,
              milliseconds MaxReportAge)
      : Term(Term), WarmStep(WarmStep), MaxReportAge(MaxReportAge) {}

  /// Lifetime of a grant. A new owner issues none for this long.
  milliseconds term() const { return Term; }
  /// Time that a warming upstream stays at one load step.
  milliseconds warmStep() const { return WarmStep; }
  /// Maximum age of the last load report; with an older one the upstream is
  /// suspect.
  milliseconds maxReportAge() const { return MaxReportAge; }
  auto key() const { return std::tie(Term, WarmStep, MaxReportAge); }

private:
  milliseconds Term = DefaultTerm;
  milliseconds WarmStep = DefaultWarmStep;
  milliseconds MaxReportAge = DefaultMaxReportAge;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_GRANTRULES_H
