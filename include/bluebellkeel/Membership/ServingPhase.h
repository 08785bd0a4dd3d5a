#ifndef BLUEBELLKEEL_MEMBERSHIP_SERVINGPHASE_H
#define BLUEBELLKEEL_MEMBERSHIP_SERVINGPHASE_H

namespace bluebellkeel {

/// Whether an instance takes requests. The stages follow each other.
enum class serving_phase {
  /// No configuration is known yet.
  Starting,
  Serving,
  /// Callers are led elsewhere; what still comes is served.
  Redirecting,
  /// Only short requests are taken.
  Draining,
  /// Nothing is taken any more; the process ends.
  Ended,
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_SERVINGPHASE_H
