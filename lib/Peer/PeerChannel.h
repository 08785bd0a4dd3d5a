#ifndef BLUEBELLKEEL_LIB_PEER_PEERCHANNEL_H
#define BLUEBELLKEEL_LIB_PEER_PEERCHANNEL_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>
#include <websocketpp/common/connection_hdl.hpp>

namespace bluebellkeel {

/// The outgoing connection to one peer, with the queries that wait for answers.
/// Accessed only on the thread of the link.
struct peer_channel {
  enum class stage { Closed, Dialling, Open };

  struct pending_query {
    peer_link::callback Done;
    monotonic_time Deadline;
  };

  network_address Address;
  /// Time of the last request to send a message on this channel.
  monotonic_time UsedAt;
  websocketpp::connection_hdl Connection;
  /// Identifies the current connection attempt. Events of earlier attempts have
  /// another id and are ignored.
  std::uint64_t DialId = 0;
  stage Stage = stage::Closed;
  /// Frames to send when the connection opens.
  std::vector<std::string> UnsentFrames;
  std::map<std::uint64_t, pending_query> PendingQueries;
  /// Number of consecutive queries that timed out.
  unsigned ConsecutiveTimeouts = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_PEER_PEERCHANNEL_H
