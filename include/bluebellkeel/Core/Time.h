#ifndef BLUEBELLKEEL_CORE_TIME_H
#define BLUEBELLKEEL_CORE_TIME_H

#include <chrono>

namespace bluebellkeel {

/// Time that never jumps, for leases, deadlines and ages within one process.
using monotonic_time = std::chrono::steady_clock::time_point;

/// Calendar time, only for timestamps that several processes compare.
using wall_time = std::chrono::system_clock::time_point;

using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_TIME_H
