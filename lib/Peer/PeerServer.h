#ifndef BLUEBELLKEEL_LIB_PEER_PEERSERVER_H
#define BLUEBELLKEEL_LIB_PEER_PEERSERVER_H

#include "UnknownConnections.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/TimeSource.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

namespace bluebellkeel {

/// The listener of a peer link. Accessed only on the thread of the link.
class peer_server {
public:
  using handle = websocketpp::connection_hdl;
  /// Called for each message. Returns true if a peer has sent it.
  using receiver =
      std::function<bool(const handle &Connection, const std::string &Bytes)>;

  peer_server(boost::asio::io_context &Io, const time_source &Clock,
              receiver Receive);

  /// Returns an error message if \p Address cannot be bound.
  tl::expected<void, std::string> listen(const network_address &Address);
  void send(const handle &Connection, const std::string &Frame);
  /// Closes the connections whose senders have been unknown for too long.
  void closeExpired();

private:
  using server = websocketpp::server<websocketpp::config::asio>;

  void onAccepted(const handle &Connection);
  void onMessage(const handle &Connection, const std::string &Bytes);
  void close(const handle &Connection);

  const time_source &Clock;
  const receiver Receive;
  server Server;
  unknown_connections Unknown;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_PEER_PEERSERVER_H
