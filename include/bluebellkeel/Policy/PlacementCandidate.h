#ifndef BLUEBELLKEEL_POLICY_PLACEMENTCANDIDATE_H
#define BLUEBELLKEEL_POLICY_PLACEMENTCANDIDATE_H

#include "bluebellkeel/Upstream/UpstreamListing.h"
#include "bluebellkeel/Upstream/UpstreamLoad.h"

namespace bluebellkeel {

/// An upstream that may take a request, with the state that this instance
/// knows.
class placement_candidate : public comparable<placement_candidate> {
public:
  /// Constructor arguments of placement_candidate.
  struct fields {
    upstream_listing Listing;
    upstream_load Load;
    std::uint64_t CachedTokens = 0;
    bool SameDataCentre = true;
    bool Cold = false;
    bool Limited = false;
    bool ReservedForSmallModels = false;
    bool Home = false;
  };

  explicit placement_candidate(fields Fields) : Content(std::move(Fields)) {}

  const upstream_listing &listing() const { return Content.Listing; }
  const upstream_load &load() const { return Content.Load; }
  /// Tokens of the prompt that are in the upstream's cache.
  std::uint64_t cachedTokens() const { return Content.CachedTokens; }
  bool sameDataCentre() const { return Content.SameDataCentre; }
  bool cold() const { return Content.Cold; }
  /// True if the upstream names a limit on the number of its requests.
  bool limited() const { return Content.Limited; }
  /// True if the upstream is reserved for small models.
  bool reservedForSmallModels() const { return Content.ReservedForSmallModels; }
  /// True if the upstream is a home of the prompt's shared part: requests with
  /// the same part prefer its homes.
  bool home() const { return Content.Home; }
  auto key() const {
    return std::tie(Content.Listing, Content.Load, Content.CachedTokens,
                    Content.SameDataCentre, Content.Cold, Content.Limited,
                    Content.ReservedForSmallModels, Content.Home);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PLACEMENTCANDIDATE_H
