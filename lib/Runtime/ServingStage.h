#ifndef BLUEBELLKEEL_LIB_RUNTIME_SERVINGSTAGE_H
#define BLUEBELLKEEL_LIB_RUNTIME_SERVINGSTAGE_H

namespace bluebellkeel {

/// Stages of a shutdown.
enum class serving_stage {
  /// New work is accepted.
  Open,
  /// New work is still accepted, but callers are directed to other instances.
  Redirecting,
  /// New work is refused; running requests are finished.
  Draining,
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_SERVINGSTAGE_H
