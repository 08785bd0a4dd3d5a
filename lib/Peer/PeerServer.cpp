#include "PeerServer.h"
#include "PeerEndpoint.h"

using namespace bluebellkeel;

peer_server::peer_server(boost::asio::io_context &Io, const time_source &Clock,
                         receiver Receive)
    : Clock(Clock), Receive(std::move(Receive)) {
  setUpPeerEndpoint(Server, Io);
  Server.set_reuse_addr(true);
  // A request for a WebSocket has no body.
  Server.set_max_http_body_size(0);
  Server.set_max_message_size(unknown_connections::MaxMessageBytes);
  Server.set_tcp_pre_init_handler(
      [this](handle Connection) { onAccepted(Connection); });
  auto Forget = [this](handle Connection) { Unknown.remove(Connection); };
  Server.set_fail_handler(Forget);
  Server.set_close_handler(Forget);
  Server.set_message_handler(
      [this](handle Connection, server::message_ptr Message) {
        onMessage(Connection, Message->get_payload());
      });
}

tl::expected<void, std::string>
peer_server::listen(const network_address &Address) {
  websocketpp::lib::error_code Code;
  boost::system::error_code Ignored;
  auto Ip = boost::asio::ip::make_address(Address.host(), Ignored);
  Server.listen(boost::asio::ip::tcp::endpoint(Ip, Address.port()), Code);
  if (!Code)
    Server.start_accept(Code);
  if (Code)
    return tl::unexpected(Address.text() + ": " + Code.message());
  return {};
}

void peer_server::send(const handle &Connection, const std::string &Frame) {
  websocketpp::lib::error_code Ignored;
  Server.send(Connection, Frame, websocketpp::frame::opcode::binary, Ignored);
}

void peer_server::closeExpired() {
  for (const auto &Connection : Unknown.takeExpired(Clock.monotonicNow()))
    close(Connection);
}

void peer_server::onAccepted(const handle &Connection) {
  if (auto Closing = Unknown.add(Connection, Clock.monotonicNow()))
    close(*Closing);
}

/// Raises the limit of a connection on which a peer has sent a message.
void peer_server::onMessage(const handle &Connection,
                            const std::string &Bytes) {
  if (!Receive(Connection, Bytes) || !Unknown.remove(Connection))
    return;
  websocketpp::lib::error_code Code;
  auto Known = Server.get_con_from_hdl(Connection, Code);
  if (!Code)
    Known->set_max_message_size(peer_codec::MaxBytes);
}

/// Closes the socket at once: the closing handshake would keep the connection,
/// and what it holds, until the other side responds or a timeout.
void peer_server::close(const handle &Connection) {
  websocketpp::lib::error_code Code;
  auto Closing = Server.get_con_from_hdl(Connection, Code);
  if (Code)
    return;
  boost::system::error_code Ignored;
  Closing->get_raw_socket().close(Ignored);
}
