#ifndef BLUEBELLKEEL_RELAY_ADMISSIONERROR_H
#define BLUEBELLKEEL_RELAY_ADMISSIONERROR_H

namespace bluebellkeel {

/// Why a request got no slot.
enum class admission_error {
  /// No upstream of the pool takes new work.
  NoUpstream,
  /// None had room in time.
  TimedOut,
  /// The client account has too many requests waiting.
  AccountQueueFull,
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_ADMISSIONERROR_H
