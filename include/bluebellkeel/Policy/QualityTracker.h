#ifndef BLUEBELLKEEL_POLICY_QUALITYTRACKER_H
#define BLUEBELLKEEL_POLICY_QUALITYTRACKER_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/VersionId.h"
#include "bluebellkeel/Policy/QualityCounts.h"
#include <map>
#include <utility>
#include <vector>

namespace bluebellkeel {

/// Counts ratings by version. Each instance counts its own ratings and reports
/// its totals to the others. Totals only grow and the highest per origin
/// counts, so late or repeated reports change nothing. Decisions use the recent
/// ratings, so that a version that turns bad after many good ratings is
/// detected.
class quality_tracker {
public:
  using origin_counts = std::pair<version_id, quality_counts>;

  /// \p Self identifies this start of the process, so that the counts of an
  /// earlier start remain a separate origin.
  explicit quality_tracker(instance_id Self) : Self(std::move(Self)) {}

  void rate(const version_id &Version, bool Good);
  /// Merges the totals of another instance.
  void merge(const instance_id &Origin, const version_id &Version,
             const quality_counts &Counts);
  /// Maximum weight of the recent ratings of all origins, in ratings; beyond
  /// this number, older ratings are scaled down.
  static constexpr double MaxRecent = 500;

  /// Returns the sum over all origins since the start.
  quality_counts totals(const version_id &Version);
  /// Returns the recent ratings of all origins.
  quality_counts recent(const version_id &Version);
  /// Returns this instance's own totals, to be reported to the others.
  std::vector<origin_counts> localTotals();

private:
  struct version_entry {
    std::map<instance_id, quality_counts> Origins;
    double RecentGood = 0;
    double RecentBad = 0;
  };

  using version_map = std::map<version_id, version_entry>;

  static void addRecent(version_entry &Entry, std::uint64_t Good,
                        std::uint64_t Bad);

  instance_id Self;
  sharded<version_map> Versions;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_QUALITYTRACKER_H
