#ifndef BLUEBELLKEEL_POLICY_UPSTREAMPARTITION_H
#define BLUEBELLKEEL_POLICY_UPSTREAMPARTITION_H

#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Policy/Prompt.h"
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace bluebellkeel {

/// How all instances divide the upstreams of a service alike, before any of
/// them looks at loads.
///
/// A large model's prompt holds up the tokens of all requests beside it, so a
/// part of the upstreams is left to small models. Requests with the same shared
/// part meet at its homes, before anybody knows who has read it. Among many
/// upstreams each request weighs only some: instances know little of each
/// other's sendings then, and would all choose the same one.
class upstream_partition {
public:
  /// Part of the upstreams that is left to small models; docs/MEASURES.md has
  /// the runs.
  static constexpr double ReservedFraction = 0.25;
  /// With fewer upstreams there is nothing to divide.
  static constexpr std::size_t MinUpstreamsToPartition = 4;
  /// Up to so many upstreams are all weighed.
  static constexpr std::size_t MaxUnsampledUpstreams = 32;
  /// Upstreams beside the homes that one request weighs among many: enough
  /// that one of them is well even where a data centre is closed and another
  /// one cold.
  static constexpr std::size_t SampleSize = 20;

  upstream_partition(std::vector<upstream_id> All, const prompt &Prompt);

  /// True when the upstream is left to small models.
  bool reservedForSmallModels(const upstream_id &Upstream) const {
    return ReservedForSmallModels.count(Upstream) > 0;
  }
  /// True when the prompt's shared part is at home there.
  bool home(const upstream_id &Upstream) const {
    return Homes.count(Upstream) > 0;
  }
  /// Those that the request called \p Request weighs.
  std::set<upstream_id> shortlist(const std::string &Request) const;

private:
  std::vector<upstream_id> All;
  std::set<upstream_id> ReservedForSmallModels;
  std::set<upstream_id> Homes;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_UPSTREAMPARTITION_H
