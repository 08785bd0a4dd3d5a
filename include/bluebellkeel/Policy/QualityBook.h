#ifndef BLUEBELLKEEL_POLICY_QUALITYBOOK_H
#define BLUEBELLKEEL_POLICY_QUALITYBOOK_H

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
/// origin the highest counts.
class quality_book {
public:
  using origin_counts = std::pair<version_id, quality_counts>;

  /// \p Self names this start of the process, so that counts of a former one
  /// stay beside its own.
  explicit quality_book(instance_id Self) : Self(std::move(Self)) {}

  void rate(const version_id &Version, bool Good);
  /// Takes the totals of another instance.
  void merge(const instance_id &Origin, const version_id &Version,
             const quality_counts &Counts);
  /// The sum over all origins.
  quality_counts counts(const version_id &Version);
  /// This instance's own totals, to be told to the others.
  std::vector<origin_counts> own();

private:
  using origin_map = std::map<instance_id, quality_counts>;
  using version_map = std::map<version_id, origin_map>;

  instance_id Self;
  sharded<version_map> Versions;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_QUALITYBOOK_H
