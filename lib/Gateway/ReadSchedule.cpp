#include "ReadSchedule.h"

using namespace bluebellkeel;

/// Delay after a successful read, so that a burst of changes costs few calls.
/// It is short against the time within which a change has to take effect.
static constexpr milliseconds PollDelay{100};

/// Delay after a read that returned only unchanged re-registrations, with many
/// instances. Their upstreams are many too, so each read would return at once.
/// Twice this delay plus the propagation through two peers stays well below the
/// time for which a leaving upstream still serves.
static constexpr milliseconds UnchangedPollDelay{800};

/// Delay after a read that returned changes, with many instances. With many
/// upstreams, changes arrive continually.
static constexpr milliseconds ChangedPollDelay{400};

/// Intervals between reads of the registered instances: rare, since peers pass
/// on the instances that they know. NoPeersInterval applies after a failed read
/// and while no peer is alive. In a data centre with many instances only the
/// readers of the log keep to InstancesInterval.
static constexpr milliseconds InstancesInterval{20000};
static constexpr milliseconds RedundantInstancesInterval{120000};
static constexpr milliseconds NoPeersInterval{2000};

milliseconds read_schedule::peerDataLifetime(keyed_topic Topic,
                                             const log_freshness &Age) const {
  auto Known = Age.age(Context.Clock.monotonicNow());
  if (!Known || Context.State.phase() == serving_phase::Starting ||
      !isRedundantReader())
    return milliseconds(0);
  return std::max(maxPeerDataAge(Topic) - *Known, milliseconds(0));
}

bool read_schedule::isRedundantReader() const {
  return reader_election::isRedundantReader(Context.Settings.Instance,
                                            Context.Settings.DataCentre,
                                            Context.Instances.alive());
}

follow_timing read_schedule::timingOf(keyed_topic Topic) const {
  reloadable_settings Reloadable = Context.Reloadable.get();
  return follow_timing(Topic == keyed_topic::Upstreams
                           ? Reloadable.UpstreamsApplyTime
                           : Reloadable.SettingsApplyTime);
}

milliseconds read_schedule::longPoll(keyed_topic Topic) const {
  return timingOf(Topic).longPoll();
}

milliseconds read_schedule::maxPeerDataAge(keyed_topic Topic) const {
  follow_timing Timing = timingOf(Topic);
  return Exchanger.reachesAllPeers() ? Timing.maxPeerDataAge()
                                     : Timing.maxRelayedDataAge();
}

milliseconds read_schedule::delayAfterRecords(keyed_topic Topic,
                                              bool Changes) const {
  if (Topic != keyed_topic::Upstreams || Exchanger.reachesAllPeers())
    return PollDelay;
  return Changes ? ChangedPollDelay : UnchangedPollDelay;
}

milliseconds read_schedule::delayAfterWait() { return PollDelay; }

milliseconds read_schedule::instancesDelay(bool ReadFailed) const {
  if (ReadFailed || !Context.Instances.anyAlive())
    return NoPeersInterval;
  return isRedundantReader() ? RedundantInstancesInterval : InstancesInterval;
}
