#ifndef BENCHMARKS_SAMPLELISTS_H
#define BENCHMARKS_SAMPLELISTS_H

#include "bluebellkeel/Membership/Heartbeat.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include "bluebellkeel/Membership/PeerStatus.h"
#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include <string>
#include <vector>

namespace bluebellkeel {

// Deterministic sample lists of a given size.
constexpr int SampleCentres = 6;
constexpr int SampleVersions = 7;

inline std::vector<instance_record> sampleInstances(int Count) {
  std::vector<instance_record> Records;
  Records.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    Records.emplace_back(
        instance_id("instance-" + std::to_string(Index)),
        data_centre_id("centre-" + std::to_string(Index % SampleCentres)),
        network_address("10.0.0.1", 7101), network_address("10.0.0.1", 7201),
        instance_state::Live);
  return Records;
}

inline std::vector<upstream_record> sampleUpstreams(int Count) {
  std::vector<upstream_record> Records;
  Records.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    Records.emplace_back(
        upstream_id("upstream-" + std::to_string(Index)),
        data_centre_id("centre-" + std::to_string(Index % SampleCentres)),
        network_address("10.0.1.1", 8000), upstream_kind::Engine,
        pool_id("model@" + std::to_string(Index % SampleVersions)), false,
        load_amount(64, 500000), load_amount(4, 50000));
  return Records;
}

inline heartbeat sampleHeartbeat(const instance_id &From) {
  return heartbeat(From, 0x123456789abcdef0, true, log_offset(123456),
                   milliseconds(250));
}

inline std::vector<peer_status>
sampleStatuses(const std::vector<instance_record> &Peers,
               monotonic_time RequestedAt) {
  std::vector<peer_status> Statuses;
  Statuses.reserve(Peers.size());
  for (const auto &Peer : Peers)
    Statuses.emplace_back(RequestedAt, sampleHeartbeat(Peer.id()));
  return Statuses;
}

} // namespace bluebellkeel

#endif // BENCHMARKS_SAMPLELISTS_H
