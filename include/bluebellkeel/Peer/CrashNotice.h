#ifndef BLUEBELLKEEL_PEER_CRASHNOTICE_H
#define BLUEBELLKEEL_PEER_CRASHNOTICE_H

#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Policy/Fingerprint.h"
#include <tuple>

namespace bluebellkeel {

/// Reports that a request was running on an upstream when the upstream crashed.
class crash_notice : public comparable<crash_notice> {
public:
  crash_notice() = default;
  crash_notice(fingerprint Request, upstream_id Upstream)
      : Request(std::move(Request)), Upstream(std::move(Upstream)) {}

  const fingerprint &request() const { return Request; }
  const upstream_id &upstream() const { return Upstream; }
  auto key() const { return std::tie(Request, Upstream); }

private:
  fingerprint Request;
  upstream_id Upstream;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_CRASHNOTICE_H
