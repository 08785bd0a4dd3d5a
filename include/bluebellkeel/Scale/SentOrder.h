#ifndef BLUEBELLKEEL_SCALE_SENTORDER_H
#define BLUEBELLKEEL_SCALE_SENTORDER_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// The last order of a data centre.
class sent_order : public comparable<sent_order> {
public:
  sent_order(std::uint32_t Count, milliseconds Age) : Count(Count), Age(Age) {}

  std::uint32_t count() const { return Count; }
  milliseconds age() const { return Age; }
  auto key() const { return std::tie(Count, Age); }

private:
  std::uint32_t Count;
  milliseconds Age;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_SENTORDER_H
