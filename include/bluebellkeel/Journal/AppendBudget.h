#ifndef BLUEBELLKEEL_JOURNAL_APPENDBUDGET_H
#define BLUEBELLKEEL_JOURNAL_APPENDBUDGET_H

#include "bluebellkeel/Core/Time.h"
#include <algorithm>
#include <cstddef>

namespace bluebellkeel {

/// Appends a second that all instances together make at most, on the average;
/// within one second it may be twice as many. The platform's log takes several
/// hundred.
constexpr std::size_t MaxAppendsPerSecond = 200;

/// Streams that each instance writes to under load: claims and bills.
constexpr std::size_t StreamsUnderLoad = 2;

/// The time between two appends of one stream that keeps \p Instances of them
/// within the budget; at least \p Least.
inline milliseconds appendIntervalFor(std::size_t Instances,
                                      milliseconds Least) {
  constexpr std::size_t MillisPerSecond = 1000;
  std::size_t Interval =
      Instances * StreamsUnderLoad * MillisPerSecond / MaxAppendsPerSecond;
  return std::max(Least, milliseconds(Interval));
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_APPENDBUDGET_H
