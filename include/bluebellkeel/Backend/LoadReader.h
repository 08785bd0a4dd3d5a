#ifndef BLUEBELLKEEL_BACKEND_LOADREADER_H
#define BLUEBELLKEEL_BACKEND_LOADREADER_H

#include "bluebellkeel/Http/HttpClient.h"
#include "bluebellkeel/Upstream/LoadReport.h"
#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include <optional>

namespace bluebellkeel {

/// Reads load reports from upstreams.
class load_reader {
public:
  explicit load_reader(http_timeouts Timeouts) : Client(Timeouts) {}

  /// Returns empty if the upstream does not send a valid report.
  std::optional<load_report> read(const upstream_record &Upstream) const;

private:
  http_client Client;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_BACKEND_LOADREADER_H
