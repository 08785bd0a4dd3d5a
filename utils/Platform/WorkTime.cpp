#include "WorkTime.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

milliseconds work_time::draw(std::mt19937_64 &Random) const {
  if (Content.MeanMs <= 0)
    return milliseconds(0);
  double Variance = Content.Spread * Content.Spread;
  std::lognormal_distribution<double> Usual(
      std::log(Content.MeanMs) - Variance / 2, Content.Spread);
  std::bernoulli_distribution Slow(Content.SlowShare);
  double Time = Usual(Random);
  if (Slow(Random))
    Time *= Content.SlowFactor;
  return milliseconds(std::lround(std::min(Time, Content.MaxMs)));
}
