#ifndef BLUEBELLKEEL_UPSTREAM_GRANT_H
#define BLUEBELLKEEL_UPSTREAM_GRANT_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Upstream/LoadAmount.h"
#include <tuple>

namespace bluebellkeel {

/// A short lease on a part of an upstream's capacity. It expires one term after
/// its holder sent the request, by the holder's own clock.
class grant : public comparable<grant> {
public:
  grant() = default;
  grant(upstream_id Upstream, load_amount Share, milliseconds Term)
      : Upstream(std::move(Upstream)), Share(Share), Term(Term) {}

  const upstream_id &upstream() const { return Upstream; }
  const load_amount &share() const { return Share; }
  milliseconds term() const { return Term; }
  auto key() const { return std::tie(Upstream, Share, Term); }

private:
  upstream_id Upstream;
  load_amount Share;
  milliseconds Term{0};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_GRANT_H
