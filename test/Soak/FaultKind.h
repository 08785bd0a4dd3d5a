#ifndef TEST_SOAK_FAULTKIND_H
#define TEST_SOAK_FAULTKIND_H

namespace bluebellkeel {

/// Kinds of faults injected into the system.
enum class fault_kind {
  PauseGateway,
  KillGateway,
  StopGateway,
  PauseRunner,
  KillRunner,
  StoreLink,
  RunnerLink,
  /// The store is paused for all gateways at once.
  PauseStore,
  /// The store never answers the reads that are waiting.
  DropReads,
};

} // namespace bluebellkeel

#endif // TEST_SOAK_FAULTKIND_H
