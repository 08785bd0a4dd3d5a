#ifndef BLUEBELLKEEL_ROUTING_SCALINGLIMITS_H
#define BLUEBELLKEEL_ROUTING_SCALINGLIMITS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// Operators' limits on the number of a service's upstreams in each data centre
/// in which it runs.
class scaling_limits : public comparable<scaling_limits> {
public:
  scaling_limits() = default;
  scaling_limits(std::uint32_t Min, std::uint32_t Max, milliseconds BootTime)
      : Min(Min), Max(Max), BootTime(BootTime) {}

  std::uint32_t min() const { return Min; }
  /// At least min().
  std::uint32_t max() const { return Max; }
  /// Time from an order until new upstreams serve.
  milliseconds bootTime() const { return BootTime; }
  auto key() const { return std::tie(Min, Max, BootTime); }

private:
  std::uint32_t Min = 0;
  std::uint32_t Max = 0;
  milliseconds BootTime{0};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_SCALINGLIMITS_H
