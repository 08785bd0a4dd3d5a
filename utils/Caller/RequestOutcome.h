#ifndef UTILS_CALLER_REQUESTOUTCOME_H
#define UTILS_CALLER_REQUESTOUTCOME_H

namespace bluebellkeel {

/// How one piece of work ended, as its caller sees it.
enum class request_outcome {
  /// The whole answer came.
  Whole,
  /// A refusal that says that nothing ran.
  NotRun,
  /// A refusal that says that it ran or may have.
  Refused,
  /// The connection ended without a word; the caller can tell.
  Cut,
};

} // namespace bluebellkeel

#endif // UTILS_CALLER_REQUESTOUTCOME_H
