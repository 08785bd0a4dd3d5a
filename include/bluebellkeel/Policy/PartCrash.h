#ifndef BLUEBELLKEEL_POLICY_PARTCRASH_H
#define BLUEBELLKEEL_POLICY_PARTCRASH_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Policy/Fingerprint.h"
#include "bluebellkeel/Upstream/UpstreamIncarnation.h"
#include <string>
#include <tuple>
#include <vector>

namespace bluebellkeel {

/// An upstream that crashed when it had begun a request and had produced
/// nothing of the answer.
class part_crash : public comparable<part_crash> {
public:
  /// \param Parts ids of the parts of the prompt that other requests may share,
  /// in the order of the prompt.
  /// \param Age time since the crash.
  part_crash(fingerprint Request, upstream_incarnation Upstream,
             std::vector<std::string> Parts, milliseconds Age)
      : Request(std::move(Request)), Upstream(std::move(Upstream)),
        Parts(std::move(Parts)), Age(Age) {}

  const fingerprint &request() const { return Request; }
  const upstream_incarnation &upstream() const { return Upstream; }
  const std::vector<std::string> &parts() const { return Parts; }
  milliseconds age() const { return Age; }
  auto key() const { return std::tie(Request, Upstream, Parts, Age); }

private:
  fingerprint Request;
  upstream_incarnation Upstream;
  std::vector<std::string> Parts;
  milliseconds Age;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PARTCRASH_H
