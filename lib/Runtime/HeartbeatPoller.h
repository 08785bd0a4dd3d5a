#ifndef BLUEBELLKEEL_LIB_RUNTIME_HEARTBEATPOLLER_H
#define BLUEBELLKEEL_LIB_RUNTIME_HEARTBEATPOLLER_H

#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Membership.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Policy/QualityTracker.h"

namespace bluebellkeel {

/// Polls the selected peers for their heartbeats.
class heartbeat_poller {
public:
  heartbeat_poller(const time_source &Clock,
                   const instance_directory &Instances, peer_table &Peers,
                   quality_tracker &Quality, peer_link &Link)
      : Clock(Clock), Instances(Instances), Peers(Peers), Quality(Quality),
        Link(Link) {}

  void run();

private:
  void handleAnswer(const peer_body &Answer, monotonic_time RequestedAt);

  const time_source &Clock;
  const instance_directory &Instances;
  peer_table &Peers;
  quality_tracker &Quality;
  peer_link &Link;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_HEARTBEATPOLLER_H
