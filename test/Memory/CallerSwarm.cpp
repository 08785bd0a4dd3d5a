#include "CallerSwarm.h"
#include <array>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

using namespace bluebellkeel;

namespace asio = boost::asio;

using asio::ip::tcp;
using boost::system::error_code;

/// Small windows and segments, so that the sender's kernel holds little of what
/// a caller does not read.
static void keepBuffersSmall(asio::ip::tcp::socket &Socket) {
  using asio::detail::socket_option::integer;
  constexpr int SegmentBytes = 536;
  constexpr int ReceiveBytes = 4096;
  Socket.set_option(integer<IPPROTO_TCP, TCP_MAXSEG>(SegmentBytes));
  Socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBytes));
}

static std::string headOf(const std::string &Path, std::size_t BodyBytes,
                          std::size_t HeaderBytes) {
  std::string Filler =
      HeaderBytes > 0 ? "Note: " + std::string(HeaderBytes, 'n') + "\r\n" : "";
  return "POST " + Path +
         " HTTP/1.1\r\nHost: a.example\r\n"
         "Bluebellkeel-Request-Id: r1\r\nBluebellkeel-Deadline-Ms: 50000\r\n" +
         Filler + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
}

void caller_swarm::connect(std::size_t Count) { write(Count, ""); }

void caller_swarm::send(std::size_t Count, const std::string &Path,
                        std::size_t BodyBytes, std::size_t HeaderBytes) {
  write(Count,
        headOf(Path, BodyBytes, HeaderBytes) + std::string(BodyBytes, 'b'));
}

void caller_swarm::sendHalf(std::size_t Count, const std::string &Path,
                            std::size_t BodyBytes) {
  write(Count, headOf(Path, BodyBytes, 0) + std::string(BodyBytes / 2, 'b'));
}

void caller_swarm::write(std::size_t Count, const std::string &Text) {
  for (std::size_t I = 0; I < Count; ++I)
    Sockets.push_back(open(Text));
}

/// A gateway may close a connection at any time, so errors are no fault here.
tcp::socket caller_swarm::open(const std::string &Text) {
  tcp::socket Socket(Io, tcp::v4());
  keepBuffersSmall(Socket);
  error_code Ignored;
  Socket.connect(
      tcp::endpoint(asio::ip::make_address(Gateway.host()), Gateway.port()),
      Ignored);
  asio::write(Socket, asio::buffer(Text), Ignored);
  return Socket;
}

void caller_swarm::sendMore(const std::string &Text) {
  for (auto &Socket : Sockets) {
    error_code Ignored;
    Socket.non_blocking(true, Ignored);
    Socket.write_some(asio::buffer(Text), Ignored);
  }
}

void caller_swarm::readOrReturn(std::size_t Bytes, const std::string &Text) {
  std::string Scratch(Bytes, ' ');
  for (auto &Socket : Sockets) {
    error_code Code;
    Socket.non_blocking(true, Code);
    Socket.read_some(asio::buffer(Scratch), Code);
    if (Code && Code != asio::error::would_block)
      Socket = open(Text);
  }
}

caller_outcomes caller_swarm::outcomes() {
  constexpr std::size_t HeadBytes = 512;
  caller_outcomes Outcomes;
  for (auto &Socket : Sockets) {
    std::array<char, HeadBytes> Bytes = {};
    error_code Code;
    Socket.non_blocking(true, Code);
    std::size_t Size = Socket.read_some(asio::buffer(Bytes), Code);
    std::string Text(Bytes.data(), Size);
    if (Code == asio::error::would_block)
      ++Outcomes.Waiting;
    else if (Code)
      ++Outcomes.Closed;
    else if (Text.rfind("HTTP/1.1 503", 0) != 0)
      ++Outcomes.Answered;
    else if (Text.find("\r\nRetry-After: ") != std::string::npos)
      ++Outcomes.Refused;
    else
      ++Outcomes.RefusedWithoutTime;
  }
  return Outcomes;
}
