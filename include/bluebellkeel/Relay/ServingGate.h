#ifndef BLUEBELLKEEL_RELAY_SERVINGGATE_H
#define BLUEBELLKEEL_RELAY_SERVINGGATE_H

#include "bluebellkeel/Relay/Refusal.h"
#include <optional>

namespace bluebellkeel {

/// Tells whether this instance accepts new work.
class serving_gate {
public:
  virtual ~serving_gate() = default;

  /// Returns why new work is refused; empty if it is accepted. Checked at the
  /// start of a request and again before each dispatch.
  virtual std::optional<refusal_reason> refusalReason() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_SERVINGGATE_H
