#ifndef UTILS_CALLER_REQUESTOUTCOME_H
#define UTILS_CALLER_REQUESTOUTCOME_H

namespace bluebellkeel {

/// Outcome of a request as seen by its caller.
enum class request_outcome {
  /// The complete answer arrived.
  Whole,
  /// Refused, and the error states that the request did not run.
  NotRun,
  /// Refused, and the request may have run.
  Refused,
  /// The connection ended without a complete answer or an error body.
  Cut,
};

} // namespace bluebellkeel

#endif // UTILS_CALLER_REQUESTOUTCOME_H
