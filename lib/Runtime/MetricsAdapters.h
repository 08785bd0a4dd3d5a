#ifndef BLUEBELLKEEL_LIB_RUNTIME_METRICSADAPTERS_H
#define BLUEBELLKEEL_LIB_RUNTIME_METRICSADAPTERS_H

#include "bluebellkeel/Peer/PeerMonitor.h"
#include "bluebellkeel/Platform/AppendMonitor.h"
#include "bluebellkeel/Telemetry/Metrics.h"

namespace bluebellkeel {

/// Gives the counters of appends and peer messages to the metrics.
class metrics_adapters final : public append_monitor, public peer_monitor {
public:
  explicit metrics_adapters(metrics &Metrics) : Metrics(Metrics) {}

  void countAppend(const std::string &Stream, bool Succeeded,
                   std::size_t Entries) override {
    Metrics.countAppend(Stream, Succeeded, Entries);
  }
  void countPeerMessage(const std::string &Kind, bool Sent,
                        std::size_t Bytes) override {
    Metrics.countPeerMessage(Kind, Sent, Bytes);
  }
  void countPeerFault(peer_error Error) override {
    Metrics.countPeerFault(std::string(toString(Error)));
  }

private:
  metrics &Metrics;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_METRICSADAPTERS_H
