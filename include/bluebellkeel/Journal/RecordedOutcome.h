#ifndef BLUEBELLKEEL_JOURNAL_RECORDEDOUTCOME_H
#define BLUEBELLKEEL_JOURNAL_RECORDEDOUTCOME_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <tuple>
#include <utility>

namespace bluebellkeel {

/// The recorded response of a call that may run only once, returned to later
/// resends.
class recorded_outcome : public comparable<recorded_outcome> {
public:
  /// Largest body that is recorded, in bytes; a larger body is recorded as
  /// empty.
  static constexpr std::size_t MaxBodyBytes = 2048;

  recorded_outcome() = default;
  recorded_outcome(int Status, std::string Body)
      : Status(Status), Body(std::move(Body)) {}

  /// The HTTP status of the service's response.
  int status() const { return Status; }
  const std::string &body() const { return Body; }
  auto key() const { return std::tie(Status, Body); }

private:
  int Status = 0;
  std::string Body;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_RECORDEDOUTCOME_H
