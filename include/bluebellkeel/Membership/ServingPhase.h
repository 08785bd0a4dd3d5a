#ifndef BLUEBELLKEEL_MEMBERSHIP_SERVINGPHASE_H
#define BLUEBELLKEEL_MEMBERSHIP_SERVINGPHASE_H

namespace bluebellkeel {

/// Whether an instance takes requests. The phases follow each other in this
/// order.
enum class serving_phase {
  /// No configuration has been received yet.
  Starting,
  Serving,
  /// Callers are directed to other instances; requests that still arrive are
  /// served.
  Redirecting,
  /// Only requests that end before the process does are accepted.
  Draining,
  /// No request is accepted any more; the process ends.
  Ended,
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_SERVINGPHASE_H
