#ifndef BLUEBELLKEEL_UPSTREAM_LOADCOLLECTOR_H
#define BLUEBELLKEEL_UPSTREAM_LOADCOLLECTOR_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Upstream/LoadBoard.h"
#include "bluebellkeel/Upstream/LoadContribution.h"
#include <map>

namespace bluebellkeel {

/// Keeps the latest contribution of each instance and the latest report of each
/// upstream, and sums the contributions up. Each instance counts once, however
/// many ways its contributions arrive. Thread-safe.
class load_collector {
public:
  /// Age at which a contribution no longer counts.
  static constexpr milliseconds ContributionLifetime{1500};
  /// Age at which a report is no longer passed on.
  static constexpr milliseconds ReportLifetime{2000};

  explicit load_collector(const time_source &Clock) : Clock(Clock) {}

  /// Ignored unless it is newer than the instance's contribution held.
  void note(const load_contribution &Contribution);
  /// Ignored unless it is newer than the upstream's report held.
  void noteReport(const upstream_report &Report);

  /// Returns the live contributions with their ages; forgets expired ones.
  std::vector<load_contribution> contributions();
  /// Returns the live reports with their ages; forgets expired ones.
  std::vector<upstream_report> reports();
  /// Returns the sum of \p Contributions, with \p Reports, for a recipient
  /// whose contribution is not included.
  static load_board sum(const std::vector<load_contribution> &Contributions,
                        std::vector<upstream_report> Reports);

private:
  struct held_contribution {
    std::uint64_t Number = 0;
    monotonic_time TakenAt;
    std::vector<instance_load> Loads;
  };
  struct held_report {
    queue_report Report;
    monotonic_time TakenAt;
  };
  using contribution_map = std::map<instance_id, held_contribution>;
  using report_map = std::map<upstream_id, held_report>;

  const time_source &Clock;
  sharded<contribution_map> Contributions;
  sharded<report_map> Reports;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_LOADCOLLECTOR_H
