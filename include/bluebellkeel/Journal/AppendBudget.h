#ifndef BLUEBELLKEEL_JOURNAL_APPENDBUDGET_H
#define BLUEBELLKEEL_JOURNAL_APPENDBUDGET_H

#include "bluebellkeel/Core/Time.h"
#include <algorithm>
#include <cstddef>

namespace bluebellkeel {

/// Average number of appends per second that all instances together may make; a
/// burst may reach twice this number within one second. The platform's log
/// takes several hundred appends per second.
constexpr std::size_t MaxAppendsPerSecond = 200;

/// Streams that each instance appends to under load: claims and bills.
constexpr std::size_t StreamsUnderLoad = 2;

/// Returns the interval between two appends to one stream that keeps
/// \p Instances instances within the budget; at least \p MinInterval.
inline milliseconds appendIntervalFor(std::size_t Instances,
                                      milliseconds MinInterval) {
  constexpr std::size_t MillisPerSecond = 1000;
  std::size_t Interval =
      Instances * StreamsUnderLoad * MillisPerSecond / MaxAppendsPerSecond;
  return std::max(MinInterval, milliseconds(Interval));
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_APPENDBUDGET_H
