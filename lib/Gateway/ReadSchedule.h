#ifndef BLUEBELLKEEL_LIB_GATEWAY_READSCHEDULE_H
#define BLUEBELLKEEL_LIB_GATEWAY_READSCHEDULE_H

#include "DigestExchanger.h"
#include "bluebellkeel/Gateway/GatewayContext.h"
#include "bluebellkeel/Journal/FollowTiming.h"
#include "bluebellkeel/Journal/KeyedTopic.h"

namespace bluebellkeel {

/// Decides when an instance reads each topic of the log. In a data centre with
/// many instances a few read the log, and the others rely on their digests as
/// long as these are fresh. Thread-safe.
class read_schedule {
public:
  read_schedule(gateway_context &Context, const digest_exchanger &Exchanger)
      : Context(Context), Exchanger(Exchanger) {}

  /// Returns the time for which this instance need not read the topic of \p Age
  /// itself; 0 if it has to read now.
  milliseconds peerDataLifetime(keyed_topic Topic,
                                const log_freshness &Age) const;
  /// Returns the longest time that a read of \p Topic waits for new records.
  milliseconds longPoll(keyed_topic Topic) const;
  /// Returns the delay after a read of \p Topic that returned records.
  ///
  /// \param Changes true if they changed the upstreams.
  milliseconds delayAfterRecords(keyed_topic Topic, bool Changes) const;
  /// Returns the delay after a read that waited for records in vain.
  static milliseconds delayAfterWait();
  /// Returns the delay between two reads of the registered instances.
  milliseconds instancesDelay(bool ReadFailed) const;

private:
  bool isRedundantReader() const;
  follow_timing timingOf(keyed_topic Topic) const;
  milliseconds maxPeerDataAge(keyed_topic Topic) const;

  gateway_context &Context;
  const digest_exchanger &Exchanger;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_READSCHEDULE_H
