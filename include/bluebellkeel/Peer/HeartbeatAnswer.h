#ifndef BLUEBELLKEEL_PEER_HEARTBEATANSWER_H
#define BLUEBELLKEEL_PEER_HEARTBEATANSWER_H

#include "bluebellkeel/Core/VersionId.h"
#include "bluebellkeel/Membership/Heartbeat.h"
#include "bluebellkeel/Policy/QualityCounts.h"
#include <map>
#include <tuple>

namespace bluebellkeel {

/// The heartbeat of a peer, with the good and bad ratings per version that the
/// peer itself has counted so far.
class heartbeat_answer : public comparable<heartbeat_answer> {
public:
  using rating_map = std::map<version_id, quality_counts>;

  heartbeat_answer() = default;
  heartbeat_answer(heartbeat Heartbeat, rating_map Ratings)
      : Heartbeat(std::move(Heartbeat)), Ratings(std::move(Ratings)) {}

  const heartbeat &senderHeartbeat() const { return Heartbeat; }
  const rating_map &ratings() const { return Ratings; }
  auto key() const { return std::tie(Heartbeat, Ratings); }

private:
  heartbeat Heartbeat;
  rating_map Ratings;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_HEARTBEATANSWER_H
