#ifndef BLUEBELLKEEL_LIB_RUNTIME_METRICSADAPTERS_H
#define BLUEBELLKEEL_LIB_RUNTIME_METRICSADAPTERS_H

#include "bluebellkeel/Platform/AppendMonitor.h"
#include "bluebellkeel/Telemetry/Metrics.h"
#include "bluebellkeel/Telemetry/MetricsPeerMonitor.h"

namespace bluebellkeel {

/// Counts appends to the log and peer messages in the metrics.
class metrics_adapters final : public append_monitor,
                               public metrics_peer_monitor {
public:
  explicit metrics_adapters(metrics &Metrics) : metrics_peer_monitor(Metrics) {}

  void countAppend(const std::string &Stream, bool Succeeded,
                   std::size_t Entries) override {
    Metrics.countAppend(Stream, Succeeded, Entries);
  }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_METRICSADAPTERS_H
