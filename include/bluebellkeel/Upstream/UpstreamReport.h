#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMREPORT_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMREPORT_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Upstream/QueueReport.h"

namespace bluebellkeel {

/// An upstream's report of its load, as passed between instances.
class upstream_report : public comparable<upstream_report> {
public:
  upstream_report(upstream_id Upstream, queue_report Report, milliseconds Age)
      : Upstream(std::move(Upstream)), Report(Report), Age(Age) {}

  const upstream_id &upstream() const { return Upstream; }
  const queue_report &report() const { return Report; }
  /// Time since an instance received the report from the upstream, without the
  /// transit times of messages.
  milliseconds age() const { return Age; }
  auto key() const { return std::tie(Upstream, Report, Age); }

private:
  upstream_id Upstream;
  queue_report Report;
  milliseconds Age;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMREPORT_H
