#ifndef BLUEBELLKEEL_POLICY_UPSTREAMPARTITION_H
#define BLUEBELLKEEL_POLICY_UPSTREAMPARTITION_H

#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Policy/Prompt.h"
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace bluebellkeel {

/// Partitions the upstreams of a service without regard to load, identically on
/// all instances.
///
/// The prompt of a large model delays the tokens of all requests on the same
/// upstream, so some upstreams are reserved for small models. Requests with the
/// same shared part go to the part's home upstreams, even before any instance
/// knows which upstream has read it. With many upstreams, each request
/// considers only a sample: instances have little information about each
/// other's requests and would otherwise all choose the same upstream.
class upstream_partition {
public:
  /// Default share of the upstreams that is reserved for small models.
  static constexpr double ReservedFraction = 0.25;
  /// With fewer upstreams, or for a request without a prompt, none is reserved.
  static constexpr std::size_t MinUpstreamsToPartition = 4;
  /// Up to this number, every upstream is on the shortlist.
  static constexpr std::size_t MaxUnsampledUpstreams = 32;
  /// Number of sampled upstreams on the shortlist, in addition to the homes.
  /// Large enough to include a healthy upstream even when one data centre is
  /// closed and another one cold.
  static constexpr std::size_t SampleSize = 20;

  /// \p Reserved is the share of the upstreams that is reserved for small
  /// models. A different share moves only upstreams at the edge of the parts.
  upstream_partition(std::vector<upstream_id> All, const prompt &Prompt,
                     double Reserved = ReservedFraction);

  /// True if \p Upstream is reserved for small models.
  bool reservedForSmallModels(const upstream_id &Upstream) const {
    return ReservedForSmallModels.count(Upstream) > 0;
  }
  /// True if \p Upstream is a home of the prompt's shared part; there is one
  /// home per MaxUnsampledUpstreams upstreams, rounded up.
  bool home(const upstream_id &Upstream) const {
    return Homes.count(Upstream) > 0;
  }
  /// Returns the upstreams to consider for the request with id \p Request.
  std::set<upstream_id> shortlist(const std::string &Request) const;

private:
  std::vector<upstream_id> All;
  std::set<upstream_id> ReservedForSmallModels;
  std::set<upstream_id> Homes;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_UPSTREAMPARTITION_H
