#ifndef TEST_SOAK_REQUESTKIND_H
#define TEST_SOAK_REQUESTKIND_H

namespace bluebellkeel {

/// What callers of the soak ask for.
enum class request_kind {
  /// May run at most once.
  NonIdempotent,
  /// May run again.
  Idempotent,
  Stream,
  /// A route of one version of the configuration; tells whether it is in force.
  Probe,
};

} // namespace bluebellkeel

#endif // TEST_SOAK_REQUESTKIND_H
