#ifndef TEST_SOAK_LINKMODE_H
#define TEST_SOAK_LINKMODE_H

namespace bluebellkeel {

/// What a proxy does with the bytes of its connections.
enum class link_mode {
  Pass,
  /// Every piece comes late.
  Delay,
  /// Open connections are reset, and so are new ones.
  Reset,
  /// What the opener sends is lost; answers still pass.
  LoseRequests,
  /// What the target sends is lost; requests still pass.
  LoseAnswers,
  /// Nothing passes, and nobody is told.
  Silent,
};

} // namespace bluebellkeel

#endif // TEST_SOAK_LINKMODE_H
