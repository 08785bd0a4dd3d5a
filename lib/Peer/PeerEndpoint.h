#ifndef BLUEBELLKEEL_LIB_PEER_PEERENDPOINT_H
#define BLUEBELLKEEL_LIB_PEER_PEERENDPOINT_H

#include "bluebellkeel/Peer/PeerCodec.h"
#include <boost/asio/io_context.hpp>
#include <string>
#include <websocketpp/common/connection_hdl.hpp>
#include <websocketpp/logger/levels.hpp>

namespace bluebellkeel {

/// Sets what both ends of the connections between peers have in common.
template <typename endpoint_t>
void setUpPeerEndpoint(endpoint_t &Endpoint, boost::asio::io_context &Io) {
  constexpr long HandshakeTimeoutMs = 1000;
  Endpoint.clear_access_channels(websocketpp::log::alevel::all);
  Endpoint.clear_error_channels(websocketpp::log::elevel::all);
  Endpoint.init_asio(&Io);
  Endpoint.set_max_message_size(peer_codec::MaxBytes);
  Endpoint.set_open_handshake_timeout(HandshakeTimeoutMs);
  Endpoint.set_close_handshake_timeout(HandshakeTimeoutMs);
  // Peers send no pings. The library would queue an answer to each, as many as
  // the other side does not read.
  Endpoint.set_ping_handler(
      [](websocketpp::connection_hdl, std::string) { return false; });
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_PEER_PEERENDPOINT_H
