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
                bool Leaving, milliseconds Age)
      : Upstream(std::move(Upstream)), RateLimit(RateLimit), Leaving(Leaving),
        Age(Age) {}

  const upstream_incarnation &upstream() const { return Upstream; }
  /// Requests per second that the upstream accepts from all instances together;
  /// empty if it no longer names a limit.
  const std::optional<double> &rateLimit() const { return RateLimit; }
  /// True once the upstream has announced that it will leave.
  bool leaving() const { return Leaving; }
  /// Time since the response arrived.
  milliseconds age() const { return Age; }
  auto key() const { return std::tie(Upstream, RateLimit, Leaving, Age); }

private:
  upstream_incarnation Upstream;
  std::optional<double> RateLimit;
  bool Leaving;
  milliseconds Age;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_NOTICEREPORT_H
