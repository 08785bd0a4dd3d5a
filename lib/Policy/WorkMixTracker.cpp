#include "bluebellkeel/Policy/WorkMixTracker.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

void work_mix_tracker::age(mix &Mix, monotonic_time Now) {
  using millis = std::chrono::duration<double, std::milli>;
  double HalfLives = millis(Now - Mix.At) / millis(HalfLife);
  double Remaining = std::exp2(-std::max(0.0, HalfLives));
  Mix.Light *= Remaining;
  Mix.Heavy *= Remaining;
  Mix.At = Now;
}

void work_mix_tracker::noteRead(const service_id &Service, double Tokens) {
  monotonic_time Now = Clock.monotonicNow();
  Mixes.withShard(Service.text(), [&](auto &Shard) {
    mix &Mix = Shard[Service];
    age(Mix, Now);
    (isHeavy(Tokens) ? Mix.Heavy : Mix.Light) += Tokens;
    double Measured = (Mix.Light + StartLightShare * StartTokens) /
                      (Mix.Light + Mix.Heavy + StartTokens);
    double Share = std::clamp(Measured, MinShare, 1 - MinShare);
    if (std::abs(Share - Mix.LightShare) >= Hysteresis)
      Mix.LightShare = Share;
  });
}

double work_mix_tracker::lightShare(const service_id &Service) {
  return Mixes.withShard(Service.text(), [&](const auto &Shard) {
    auto Found = Shard.find(Service);
    return Found == Shard.end() ? StartLightShare : Found->second.LightShare;
  });
}
