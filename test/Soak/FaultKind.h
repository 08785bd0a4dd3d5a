#ifndef TEST_SOAK_FAULTKIND_H
#define TEST_SOAK_FAULTKIND_H

namespace bluebellkeel {

/// What is done to the system from outside.
enum class fault_kind {
  PauseGateway,
  KillGateway,
  StopGateway,
  PauseRunner,
  KillRunner,
  StoreLink,
  RunnerLink,
  /// All gateways lose the store at once.
  PauseStore,
};

} // namespace bluebellkeel

#endif // TEST_SOAK_FAULTKIND_H
