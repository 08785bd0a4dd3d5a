#ifndef BLUEBELLKEEL_SCALE_KNOWNWORK_H
#define BLUEBELLKEEL_SCALE_KNOWNWORK_H

#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Scale/WorkTotal.h"
#include <cstddef>
#include <map>

namespace bluebellkeel {

/// What the instances said of the work of a service.
class known_work : public comparable<known_work> {
public:
  using centre_map = std::map<data_centre_id, double>;

  known_work() = default;
  known_work(work_total Total, centre_map Running, std::size_t Sources,
             milliseconds Age)
      : Total(Total), Running(std::move(Running)), Sources(Sources), Age(Age) {}

  const work_total &total() const { return Total; }
  /// Running requests by the data centre where they came in.
  const centre_map &running() const { return Running; }
  /// Number of instances that were heard of, also those without work.
  std::size_t sources() const { return Sources; }
  /// Age of the oldest share.
  milliseconds age() const { return Age; }
  auto key() const { return std::tie(Total, Running, Sources, Age); }

private:
  work_total Total;
  centre_map Running;
  std::size_t Sources = 0;
  milliseconds Age{0};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_KNOWNWORK_H
