#ifndef BLUEBELLKEEL_SCALE_WORKTOTAL_H
#define BLUEBELLKEEL_SCALE_WORKTOTAL_H

#include "bluebellkeel/Core/Comparable.h"
#include <algorithm>
#include <tuple>

namespace bluebellkeel {

/// The work of a whole service at one moment, as far as known.
class work_total : public comparable<work_total> {
public:
  work_total() = default;
  work_total(double Running, double Waiting, double Prefill)
      : Running(Running), Waiting(Waiting), Prefill(Prefill) {}

  double running() const { return Running; }
  /// Requests that wait at upstreams for a slot.
  double waiting() const { return Waiting; }
  /// Weighted prompt tokens to be read.
  double prefill() const { return Prefill; }
  /// Returns the larger of each figure.
  work_total peakWith(const work_total &Other) const {
    return {std::max(Running, Other.Running), std::max(Waiting, Other.Waiting),
            std::max(Prefill, Other.Prefill)};
  }
  work_total times(double Factor) const {
    return {Factor * Running, Factor * Waiting, Factor * Prefill};
  }
  auto key() const { return std::tie(Running, Waiting, Prefill); }

private:
  double Running = 0;
  double Waiting = 0;
  double Prefill = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_WORKTOTAL_H
