#ifndef BLUEBELLKEEL_POLICY_PARTINTERRUPTION_H
#define BLUEBELLKEEL_POLICY_PARTINTERRUPTION_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Policy/Fingerprint.h"
#include "bluebellkeel/Upstream/UpstreamIncarnation.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// A part of the prompt of a request that ran, or waited, at an upstream when
/// that upstream crashed. Most such parts merely were there; the part that
/// crashes upstreams is there each time.
class part_interruption : public comparable<part_interruption> {
public:
  /// \param Position index of the part in the prompt.
  /// \param Age time since the crash.
  part_interruption(std::string Part, std::uint64_t Position,
                    fingerprint Request, upstream_incarnation Upstream,
                    milliseconds Age)
      : Part(std::move(Part)), Position(Position), Request(std::move(Request)),
        Upstream(std::move(Upstream)), Age(Age) {}

  const std::string &part() const { return Part; }
  std::uint64_t position() const { return Position; }
  const fingerprint &request() const { return Request; }
  const upstream_incarnation &upstream() const { return Upstream; }
  milliseconds age() const { return Age; }
  auto key() const { return std::tie(Part, Position, Request, Upstream, Age); }

private:
  std::string Part;
  std::uint64_t Position;
  fingerprint Request;
  upstream_incarnation Upstream;
  milliseconds Age;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PARTINTERRUPTION_H
