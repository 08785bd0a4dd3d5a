#include "bluebellkeel/Gateway/StopSchedule.h"
#include <algorithm>

using namespace bluebellkeel;

/// Most callers resolve addresses again within
/// nearest_address_selector::Lifetime. The divisors and the share replace the
/// times if the grace period is short.
static constexpr milliseconds LongAdmissionTime{2500};
static constexpr int LongAdmissionDivisor = 3;
static constexpr milliseconds MinServingTime{3000};
static constexpr double MinServingShare = 0.4;
/// The process ends by itself this long before the platform kills it.
static constexpr milliseconds KillMargin{300};
static constexpr int KillMarginDivisor = 2;
/// Time to send the last responses, before the process ends by itself.
static constexpr milliseconds LastResponseTime{200};
static constexpr int LastResponseDivisor = 4;

stop_schedule::stop_schedule(milliseconds Grace)
    : End(Grace - std::min(KillMargin, Grace / KillMarginDivisor)),
      ResponsesEnd(End - std::min(LastResponseTime, End / LastResponseDivisor)),
      LongAdmission(std::min(LongAdmissionTime, End / LongAdmissionDivisor)),
      MinServing(std::min(
          MinServingTime,
          std::chrono::duration_cast<milliseconds>(End * MinServingShare))) {}
