#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMLOAD_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMLOAD_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// Known load on one upstream.
class upstream_load : public comparable<upstream_load> {
public:
  upstream_load() = default;
  upstream_load(double Running, double Prefill, double Waiting,
                double Suspicion,
                std::optional<double> TimeFactor = std::nullopt)
      : Running(Running), Prefill(Prefill), Waiting(Waiting),
        Suspicion(Suspicion), TimeFactor(TimeFactor) {}

  /// Running requests of all instances, as far as known.
  double running() const { return Running; }
  /// Prompt tokens still to be read, weighted by the model's time per token.
  double prefill() const { return Prefill; }
  /// Queued requests according to the upstream's last report.
  double waiting() const { return Waiting; }
  /// Weight of recent failures; decays within seconds.
  double suspicion() const { return Suspicion; }
  /// How long work takes there, relative to the usual time, according to a
  /// recent report; empty if the upstream does not report it.
  const std::optional<double> &timeFactor() const { return TimeFactor; }
  auto key() const {
    return std::tie(Running, Prefill, Waiting, Suspicion, TimeFactor);
  }

private:
  double Running = 0;
  double Prefill = 0;
  double Waiting = 0;
  double Suspicion = 0;
  std::optional<double> TimeFactor;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMLOAD_H
