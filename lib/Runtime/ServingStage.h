#ifndef BLUEBELLKEEL_LIB_RUNTIME_SERVINGSTAGE_H
#define BLUEBELLKEEL_LIB_RUNTIME_SERVINGSTAGE_H

namespace bluebellkeel {

/// How far a shutdown has got.
enum class serving_stage {
  /// New work is taken.
  Open,
  /// New work is still taken, but callers are told to go elsewhere.
  Redirecting,
  /// New work is refused; what runs is finished.
  Draining,
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_SERVINGSTAGE_H
