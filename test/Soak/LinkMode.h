#ifndef TEST_SOAK_LINKMODE_H
#define TEST_SOAK_LINKMODE_H

namespace bluebellkeel {

/// How a proxy treats the bytes of its connections.
enum class link_mode {
  Pass,
  /// Every forwarded block is delayed.
  Delay,
  /// Open and new connections are reset.
  Reset,
  /// Data from the client is dropped; data from the target passes.
  LoseRequests,
  /// Data from the target is dropped; data from the client passes.
  LoseAnswers,
  /// Data is dropped in both directions; connections stay open.
  Silent,
};

} // namespace bluebellkeel

#endif // TEST_SOAK_LINKMODE_H
