#ifndef BLUEBELLKEEL_POLICY_PLACEMENTCANDIDATE_H
#define BLUEBELLKEEL_POLICY_PLACEMENTCANDIDATE_H

#include "bluebellkeel/Upstream/UpstreamListing.h"
#include "bluebellkeel/Upstream/UpstreamLoad.h"

namespace bluebellkeel {

/// An upstream that may take a request, as this instance sees it.
class placement_candidate : public comparable<placement_candidate> {
public:
  /// What a candidate is made from.
  struct fields {
    upstream_listing Listing;
    upstream_load Load;
    std::uint64_t CachedTokens = 0;
    bool SameDataCentre = true;
    bool Cold = false;
    bool ReservedForSmallModels = false;
    bool Home = false;
  };

  explicit placement_candidate(fields Fields) : Held(std::move(Fields)) {}

  const upstream_listing &listing() const { return Held.Listing; }
  const upstream_load &load() const { return Held.Load; }
  /// Tokens of the prompt that it need not read again.
  std::uint64_t cachedTokens() const { return Held.CachedTokens; }
  bool sameDataCentre() const { return Held.SameDataCentre; }
  bool cold() const { return Held.Cold; }
  /// Left to small models.
  bool reservedForSmallModels() const { return Held.ReservedForSmallModels; }
  /// Where requests with the same shared part meet.
  bool home() const { return Held.Home; }
  auto key() const {
    return std::tie(Held.Listing, Held.Load, Held.CachedTokens,
                    Held.SameDataCentre, Held.Cold, Held.ReservedForSmallModels,
                    Held.Home);
  }

private:
  fields Held;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PLACEMENTCANDIDATE_H
