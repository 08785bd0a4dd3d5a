#ifndef BLUEBELLKEEL_POLICY_WORKMIXTRACKER_H
#define BLUEBELLKEEL_POLICY_WORKMIXTRACKER_H

#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include <map>

namespace bluebellkeel {

/// Measures how the prompt tokens of each service divide between heavy and
/// light reads, and derives the share of the upstreams that each kind gets.
///
/// A read is heavy if it occupies an upstream so long that other requests there
/// notice it; the kind depends on the uncached tokens alone.
class work_mix_tracker {
public:
  /// Weighted prompt tokens from which a read is heavy.
  static constexpr double MinHeavyTokens = 20000;
  /// Time in which the weight of a measured read halves.
  static constexpr milliseconds HalfLife{3000};
  /// Share of the upstreams for light reads before anything was measured.
  static constexpr double StartLightShare = 0.25;
  /// Each kind keeps at least this share of the upstreams.
  static constexpr double MinShare = 0.2;
  /// The share changes when the measured one differs by at least this much.
  static constexpr double Hysteresis = 0.06;
  /// Weighted tokens that count as measured at StartLightShare.
  static constexpr double StartTokens = 400000;

  static bool isHeavy(double Tokens) { return Tokens >= MinHeavyTokens; }

  explicit work_mix_tracker(const time_source &Clock) : Clock(Clock) {}

  /// Records a read of \p Tokens weighted prompt tokens.
  void noteRead(const service_id &Service, double Tokens);
  /// Returns the share of the service's upstreams that is meant for light
  /// reads.
  double lightShare(const service_id &Service);

private:
  struct mix {
    double Light = 0;
    double Heavy = 0;
    monotonic_time At;
    double LightShare = StartLightShare;
  };

  static void age(mix &Mix, monotonic_time Now);

  const time_source &Clock;
  sharded<std::map<service_id, mix>> Mixes;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_WORKMIXTRACKER_H
