#ifndef BLUEBELLKEEL_RELAY_SERVINGGATE_H
#define BLUEBELLKEEL_RELAY_SERVINGGATE_H

#include "bluebellkeel/Relay/Refusal.h"
#include <optional>

namespace bluebellkeel {

/// Says whether this instance takes new work at all.
class serving_gate {
public:
  virtual ~serving_gate() = default;

  /// Empty when new work is taken. Asked at the start of a request and again
  /// at each dispatch.
  virtual std::optional<refusal_reason> refusalReason() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_SERVINGGATE_H
