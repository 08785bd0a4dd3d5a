#include "bluebellkeel/Scale/WorkHistory.h"

using namespace bluebellkeel;

void work_history::note(monotonic_time Now, const work_total &Work) {
  if (Samples.empty() || Now - Samples.back().first > MaxGap) {
    Samples.clear();
    Since = Now;
  }
  Samples.emplace_back(Now, Work);
  while (Now - Samples.front().first > Span)
    Samples.pop_front();
}

work_total work_history::peak() const {
  work_total Peak;
  for (const auto &[At, Work] : Samples)
    Peak = Peak.peakWith(Work);
  return Peak;
}

bool work_history::complete() const {
  return !Samples.empty() && Samples.back().first - *Since >= Span;
}
