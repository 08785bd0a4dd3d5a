#ifndef BLUEBELLKEEL_UPSTREAM_QUEUEREPORT_H
#define BLUEBELLKEEL_UPSTREAM_QUEUEREPORT_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// An upstream's report of its running and waiting requests.
class queue_report : public comparable<queue_report> {
public:
  queue_report(std::uint32_t Running, std::uint32_t Waiting)
      : Running(Running), Waiting(Waiting) {}

  std::uint32_t running() const { return Running; }
  std::uint32_t waiting() const { return Waiting; }
  auto key() const { return std::tie(Running, Waiting); }

private:
  std::uint32_t Running;
  std::uint32_t Waiting;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_QUEUEREPORT_H
