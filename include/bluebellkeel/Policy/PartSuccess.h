#ifndef BLUEBELLKEEL_POLICY_PARTSUCCESS_H
#define BLUEBELLKEEL_POLICY_PARTSUCCESS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// The latest complete answer to a request with a part of a prompt.
class part_success : public comparable<part_success> {
public:
  /// \param Age time since the answer was complete.
  part_success(std::string Part, milliseconds Age)
      : Part(std::move(Part)), Age(Age) {}

  const std::string &part() const { return Part; }
  milliseconds age() const { return Age; }
  auto key() const { return std::tie(Part, Age); }

private:
  std::string Part;
  milliseconds Age;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PARTSUCCESS_H
