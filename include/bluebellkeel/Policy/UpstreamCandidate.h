#ifndef BLUEBELLKEEL_POLICY_UPSTREAMCANDIDATE_H
#define BLUEBELLKEEL_POLICY_UPSTREAMCANDIDATE_H

#include "bluebellkeel/Core/UpstreamId.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// An upstream that may take a request, with this instance's load on it.
class upstream_candidate : public comparable<upstream_candidate> {
public:
  upstream_candidate(upstream_id Id, std::uint32_t InFlight,
                     bool SameDataCentre)
      : Id(std::move(Id)), InFlight(InFlight), SameDataCentre(SameDataCentre) {}

  const upstream_id &id() const { return Id; }
  /// Number of requests that this instance has running on the upstream.
  std::uint32_t inFlight() const { return InFlight; }
  /// True if the upstream is in this instance's data centre.
  bool sameDataCentre() const { return SameDataCentre; }
  auto key() const { return std::tie(Id, InFlight, SameDataCentre); }

private:
  upstream_id Id;
  std::uint32_t InFlight;
  bool SameDataCentre;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_UPSTREAMCANDIDATE_H
