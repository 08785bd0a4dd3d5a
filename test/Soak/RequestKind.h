#ifndef TEST_SOAK_REQUESTKIND_H
#define TEST_SOAK_REQUESTKIND_H

namespace bluebellkeel {

/// Kinds of requests that soak callers send.
enum class request_kind {
  /// May run at most once.
  NonIdempotent,
  /// May run more than once.
  Idempotent,
  Stream,
  /// Uses a route that exists since one version of the configuration, to test
  /// whether that version is in force.
  Probe,
};

} // namespace bluebellkeel

#endif // TEST_SOAK_REQUESTKIND_H
