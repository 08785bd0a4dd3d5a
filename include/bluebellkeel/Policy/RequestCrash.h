#ifndef BLUEBELLKEEL_POLICY_REQUESTCRASH_H
#define BLUEBELLKEEL_POLICY_REQUESTCRASH_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Policy/Fingerprint.h"
#include <tuple>

namespace bluebellkeel {

/// An upstream that crashed while it had a request.
class request_crash : public comparable<request_crash> {
public:
  /// \param Age time since the crash.
  request_crash(fingerprint Request, upstream_id Upstream, milliseconds Age)
      : Request(std::move(Request)), Upstream(std::move(Upstream)), Age(Age) {}

  const fingerprint &request() const { return Request; }
  const upstream_id &upstream() const { return Upstream; }
  milliseconds age() const { return Age; }
  auto key() const { return std::tie(Request, Upstream, Age); }

private:
  fingerprint Request;
  upstream_id Upstream;
  milliseconds Age;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_REQUESTCRASH_H
