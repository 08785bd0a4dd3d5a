#ifndef BLUEBELLKEEL_UPSTREAM_QUEUEREPORT_H
#define BLUEBELLKEEL_UPSTREAM_QUEUEREPORT_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// An upstream's report of its running and waiting requests, and of its speed
/// if it shares its machine with others.
class queue_report : public comparable<queue_report> {
public:
  queue_report(std::uint32_t Running, std::uint32_t Waiting,
               std::optional<double> TimeFactor = std::nullopt)
      : Running(Running), Waiting(Waiting), TimeFactor(TimeFactor) {}

  std::uint32_t running() const { return Running; }
  std::uint32_t waiting() const { return Waiting; }
  /// How long work takes there now, relative to the usual time; empty if the
  /// upstream does not report it.
  const std::optional<double> &timeFactor() const { return TimeFactor; }
  auto key() const { return std::tie(Running, Waiting, TimeFactor); }

private:
  std::uint32_t Running;
  std::uint32_t Waiting;
  std::optional<double> TimeFactor;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_QUEUEREPORT_H
