#ifndef BLUEBELLKEEL_LIB_RUNTIME_PEERCRASHREPORTER_H
#define BLUEBELLKEEL_LIB_RUNTIME_PEERCRASHREPORTER_H

#include "bluebellkeel/Membership.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Relay/CrashReporter.h"

namespace bluebellkeel {

/// Reports crashes to the selected peers.
class peer_crash_reporter final : public crash_reporter {
public:
  peer_crash_reporter(const instance_directory &Instances, peer_link &Link)
      : Instances(Instances), Link(Link) {}

  void reportCrash(const fingerprint &Request,
                   const upstream_id &Upstream) override {
    auto Peers = Instances.peers();
    for (const auto &Peer : *Peers)
      Link.sendOneWay(Peer, crash_notice(Request, Upstream));
  }

private:
  const instance_directory &Instances;
  peer_link &Link;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_PEERCRASHREPORTER_H
