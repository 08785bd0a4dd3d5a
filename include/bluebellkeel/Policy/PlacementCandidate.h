#ifndef BLUEBELLKEEL_POLICY_PLACEMENTCANDIDATE_H
#define BLUEBELLKEEL_POLICY_PLACEMENTCANDIDATE_H

#include "bluebellkeel/Upstream/UpstreamListing.h"
#include "bluebellkeel/Upstream/UpstreamLoad.h"

namespace bluebellkeel {

/// An upstream that may take a request, as this instance sees it.
class placement_candidate : public comparable<placement_candidate> {
public:
  placement_candidate(upstream_listing Listing, upstream_load Load,
                      std::uint64_t CachedTokens, bool SameCentre, bool Cold)
      : Listing(std::move(Listing)), Load(Load), CachedTokens(CachedTokens),
        SameCentre(SameCentre), Cold(Cold) {}

  const upstream_listing &listing() const { return Listing; }
  const upstream_load &load() const { return Load; }
  /// Tokens of the prompt that it need not read again.
  std::uint64_t cachedTokens() const { return CachedTokens; }
  bool sameCentre() const { return SameCentre; }
  bool cold() const { return Cold; }
  auto key() const {
    return std::tie(Listing, Load, CachedTokens, SameCentre, Cold);
  }

private:
  upstream_listing Listing;
  upstream_load Load;
  std::uint64_t CachedTokens;
  bool SameCentre;
  bool Cold;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PLACEMENTCANDIDATE_H
