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

/// The connection to one peer that this instance dialled, with the questions
/// that wait for answers. Used by the link's thread only.
struct peer_channel {
  enum class stage { Closed, Dialling, Open };

  struct pending_query {
    peer_link::callback Done;
    monotonic_time Deadline;
  };

  network_address Address;
  /// When something was last to be sent on it.
  monotonic_time UsedAt;
  websocketpp::connection_hdl Connection;
  /// Tells this dial from earlier ones, whose late events are passed over.
  std::uint64_t DialId = 0;
  stage Stage = stage::Closed;
  /// Frames that wait for the connection to open.
  std::vector<std::string> UnsentFrames;
  std::map<std::uint64_t, pending_query> PendingQueries;
  /// Questions in a row that got no answer.
  unsigned ConsecutiveTimeouts = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_PEER_PEERCHANNEL_H
