#ifndef BLUEBELLKEEL_UPSTREAM_NOTICEREPORT_H
#define BLUEBELLKEEL_UPSTREAM_NOTICEREPORT_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Upstream/UpstreamIncarnation.h"
#include <optional>

namespace bluebellkeel {

/// What an instance tells its peers about the latest response of an upstream.
class notice_report : public comparable<notice_report> {
public:
  notice_report(upstream_incarnation Upstream, std::optional<double> RateLimit,
                milliseconds Age)
      : Upstream(std::move(Upstream)), RateLimit(RateLimit), Age(Age) {}

  const upstream_incarnation &upstream() const { return Upstream; }
  /// Requests per second that the upstream accepts from all instances together;
  /// empty if it no longer names a limit.
  const std::optional<double> &rateLimit() const { return RateLimit; }
  /// Time since the response arrived.
  milliseconds age() const { return Age; }
  auto key() const { return std::tie(Upstream, RateLimit, Age); }

private:
  upstream_incarnation Upstream;
  std::optional<double> RateLimit;
  milliseconds Age;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_NOTICEREPORT_H
