#ifndef BLUEBELLKEEL_TELEMETRY_PEERCOUNTER_H
#define BLUEBELLKEEL_TELEMETRY_PEERCOUNTER_H

#include "bluebellkeel/Peer/PeerMonitor.h"
#include "bluebellkeel/Telemetry/Metrics.h"

namespace bluebellkeel {

/// Gives the counters of peer messages to the metrics.
class peer_counter : public peer_monitor {
public:
  explicit peer_counter(metrics &Metrics) : Metrics(Metrics) {}
  ~peer_counter() override = default;

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

#endif // BLUEBELLKEEL_TELEMETRY_PEERCOUNTER_H
