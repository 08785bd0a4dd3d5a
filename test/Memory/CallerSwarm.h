#ifndef TEST_MEMORY_CALLERSWARM_H
#define TEST_MEMORY_CALLERSWARM_H

#include "CallerOutcomes.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <vector>

namespace bluebellkeel {

/// Many callers on connections of their own that read nothing until outcomes()
/// is called.
class caller_swarm {
public:
  explicit caller_swarm(network_address Gateway) : Gateway(Gateway) {}

  /// Connects \p Count callers that send nothing.
  void connect(std::size_t Count);
  /// Connects \p Count callers that each send a whole request.
  void send(std::size_t Count, const std::string &Path, std::size_t BodyBytes,
            std::size_t HeaderBytes = 0);
  /// Connects \p Count callers that each send half of a request's body.
  void sendHalf(std::size_t Count, const std::string &Path,
                std::size_t BodyBytes);
  /// Connects \p Count callers that each send \p Text and stay open.
  void sendText(std::size_t Count, const std::string &Text) {
    write(Count, Text);
  }
  /// Each caller sends \p Text on its connection, as far as the connection
  /// takes it at once.
  void sendMore(const std::string &Text);
  /// Each caller reads up to \p Bytes of what has arrived. Those whose
  /// connection has ended open another one and send \p Text.
  void readOrReturn(std::size_t Bytes, const std::string &Text);
  /// Reads the beginning of each response that has arrived.
  caller_outcomes outcomes();

private:
  using tcp = boost::asio::ip::tcp;

  void write(std::size_t Count, const std::string &Text);
  tcp::socket open(const std::string &Text);

  network_address Gateway;
  boost::asio::io_context Io;
  std::vector<tcp::socket> Sockets;
};

} // namespace bluebellkeel

#endif // TEST_MEMORY_CALLERSWARM_H
