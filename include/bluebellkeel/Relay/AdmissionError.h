#ifndef BLUEBELLKEEL_RELAY_ADMISSIONERROR_H
#define BLUEBELLKEEL_RELAY_ADMISSIONERROR_H

namespace bluebellkeel {

/// Why a request was not given a slot.
enum class admission_error {
  /// No upstream of the pool accepts new work.
  NoUpstream,
  /// No upstream had a free slot in time.
  TimedOut,
  /// The client account has too many queued requests.
  AccountQueueFull,
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_ADMISSIONERROR_H
