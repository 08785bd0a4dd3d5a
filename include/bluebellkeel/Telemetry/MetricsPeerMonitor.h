#ifndef BLUEBELLKEEL_TELEMETRY_METRICSPEERMONITOR_H
#define BLUEBELLKEEL_TELEMETRY_METRICSPEERMONITOR_H

#include "bluebellkeel/Peer/PeerMonitor.h"
#include "bluebellkeel/Telemetry/Metrics.h"

namespace bluebellkeel {

/// Forwards the counts of peer messages and faults to the metrics.
class metrics_peer_monitor : public peer_monitor {
public:
  explicit metrics_peer_monitor(metrics &Metrics) : Metrics(Metrics) {}
  ~metrics_peer_monitor() override = default;

  void countPeerMessage(const std::string &Kind, bool Sent,
                        std::size_t Bytes) override {
    Metrics.countPeerMessage(Kind, Sent, Bytes);
  }
  void countPeerFault(peer_error Error) override {
    Metrics.countPeerFault(std::string(toString(Error)));
  }

protected:
  metrics &Metrics;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_TELEMETRY_METRICSPEERMONITOR_H
