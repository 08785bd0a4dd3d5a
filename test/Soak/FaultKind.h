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
  /// A runner names a limit in its responses.
  LimitRunner,
  /// A runner says that it leaves, and is then replaced.
  LeaveRunner,
  /// A runner turns requests away and asks for a pause.
  RefuseRequests,
  /// The store is away and returns from a copy; what the operator and the
  /// runners wrote since is then written again.
  RestoreStore,
};

} // namespace bluebellkeel

#endif // TEST_SOAK_FAULTKIND_H
