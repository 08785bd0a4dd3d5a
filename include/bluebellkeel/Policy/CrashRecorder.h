#ifndef BLUEBELLKEEL_POLICY_CRASHRECORDER_H
#define BLUEBELLKEEL_POLICY_CRASHRECORDER_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Policy/CrashRecordLog.h"
#include "bluebellkeel/Policy/CrashTracker.h"
#include <map>
#include <set>

namespace bluebellkeel {

/// Keeps blocked requests in the log and reads them when the instance starts.
/// The instance that sees the crash which blocks a request, or the success
/// which clears it, writes the log; the others learn of both from it as a peer.
/// Used by one thread or coroutine at a time.
class crash_recorder {
public:
  crash_recorder(instance_id Self, const time_source &Clock,
                 crash_tracker &Tracker, crash_record_log &Log)
      : Self(std::move(Self)), Clock(Clock), Tracker(Tracker), Log(Log) {}

  /// Reads the blocks of the log. Returns the requests that were not blocked
  /// before; empty if the log cannot be read.
  std::optional<std::vector<fingerprint>> readBlocks();
  /// Writes what has changed since the last call, and removes the records that
  /// no longer block anything. What fails is done again in the next call.
  ///
  /// \param Era era of the log, which increases when the log is restored and
  /// may have lost records.
  /// \param Instances all instances that may run, including this one.
  void writeChanges(std::uint64_t Era,
                    const std::vector<instance_id> &Instances);

private:
  bool writeOrRemove(const fingerprint &Request);
  void findUnblocked(const std::vector<instance_id> &Instances);

  const instance_id Self;
  const time_source &Clock;
  crash_tracker &Tracker;
  crash_record_log &Log;
  std::uint64_t KnownEra = 0;
  /// Requests whose record may differ from what is known of them.
  std::set<fingerprint> Pending;
  /// Requests whose record this instance wrote.
  std::set<fingerprint> Written;
  /// Requests whose record was read; one of the instances removes it.
  std::set<fingerprint> Read;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CRASHRECORDER_H
