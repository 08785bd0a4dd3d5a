#ifndef BLUEBELLKEEL_PEER_VIEWSTATE_H
#define BLUEBELLKEEL_PEER_VIEWSTATE_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/LogPosition.h"
#include "bluebellkeel/Core/Time.h"
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// How far an instance's view of a topic reaches, and how long ago it was known
/// to be complete.
class view_state : public comparable<view_state> {
public:
  view_state() = default;
  /// \param Age empty if the view was never known to be complete.
  view_state(log_position End, std::optional<milliseconds> Age)
      : End(End), Age(Age) {}

  log_position end() const { return End; }
  const std::optional<milliseconds> &age() const { return Age; }
  auto key() const { return std::tie(End, Age); }

private:
  log_position End;
  std::optional<milliseconds> Age;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_VIEWSTATE_H
