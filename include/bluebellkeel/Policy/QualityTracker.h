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

/// Ratings by version. Each instance counts its own and tells the others its
/// totals; a total that comes late or twice changes nothing, since for each
/// origin the highest counts. What is decided by is the recent ratings, so that
/// a version which turns bad after a long good time is noticed.
class quality_tracker {
public:
  using origin_counts = std::pair<version_id, quality_counts>;

  /// \p Self names this start of the process, so that counts of a former one
  /// stay beside its own.
  explicit quality_tracker(instance_id Self) : Self(std::move(Self)) {}

  void rate(const version_id &Version, bool Good);
  /// Takes the totals of another instance.
  void merge(const instance_id &Origin, const version_id &Version,
             const quality_counts &Counts);
  /// Recent ratings of all origins count in full up to this many; beyond it,
  /// older ones fade.
  static constexpr double MaxRecent = 500;

  /// The sum over all origins since the start.
  quality_counts totals(const version_id &Version);
  /// The recent ratings of all origins.
  quality_counts recent(const version_id &Version);
  /// This instance's own totals, to be told to the others.
  std::vector<origin_counts> ownTotals();

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
