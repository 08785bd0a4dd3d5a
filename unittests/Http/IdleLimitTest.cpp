#include "PoolHold.h"
#include "absl/time/clock.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace bluebellkeel;

using tcp = boost::asio::ip::tcp;

namespace {

class empty_handler final : public http_handler {
public:
  void handle(const http_request & /*Request*/, http_responder &Responder,
              boost::asio::yield_context /*Yield*/) override {
    Responder.send(http_response(200, {}, ""));
  }
};

/// A server whose threads get no processor for a while.
class idle_limit_test : public testing::Test {
protected:
  static constexpr std::size_t Threads = 2;
  static constexpr milliseconds IdleTime{500};
  static constexpr int Connections = 400;
  static constexpr int Rounds = 8;

  void SetUp() override { ASSERT_TRUE(Server.listen(Address)); }
  void TearDown() override { Pool.stop(); }

  tcp::socket connect() {
    tcp::socket Socket(Io);
    Socket.connect(tcp::endpoint(boost::asio::ip::make_address(Address.host()),
                                 Address.port()));
    return Socket;
  }
  static void write(tcp::socket &Socket, const std::string &Text) {
    boost::asio::write(Socket, boost::asio::buffer(Text));
  }
  /// Returns the version and the status of the response; empty if the
  /// connection ends without one.
  static std::string readStatus(tcp::socket &Socket) {
    std::string Text(12, ' ');
    boost::system::error_code Code;
    boost::asio::read(Socket, boost::asio::buffer(Text), Code);
    return Code ? "" : Text;
  }
  /// Sends one request on each of many connections while the server has no
  /// processor until their idle time has passed; returns how many are answered.
  int answeredWhileLate() {
    std::vector<tcp::socket> Sockets;
    Sockets.reserve(Connections);
    for (int I = 0; I < Connections; ++I)
      Sockets.push_back(connect());
    wait(IdleTime / 2);
    pool_hold Hold(Pool, Threads);
    for (auto &Socket : Sockets)
      write(Socket, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    wait(IdleTime);
    Hold.release();
    return static_cast<int>(
        std::count_if(Sockets.begin(), Sockets.end(), [](auto &Socket) {
          return readStatus(Socket) == "HTTP/1.1 200";
        }));
  }
  static void wait(milliseconds Time) {
    absl::SleepFor(absl::FromChrono(Time));
  }

  network_address Address{"127.0.0.1", 21817};
  boost::asio::io_context Io;
  empty_handler Handler;
  thread_pool Pool{Threads};
  http_server Server{
      Pool, Handler,
      http_limits(1000, 1000, milliseconds(1000)).withIdle(IdleTime)};
};

} // namespace

// Guards against requests that are read and dropped since the idle time of
// their connection has passed meanwhile.
TEST_F(idle_limit_test, requestArrivesBeforeItsEnd_processIsLate_isAnswered) {
  for (int Round = 0; Round < Rounds; ++Round)
    EXPECT_EQ(Connections, answeredWhileLate());
}

TEST_F(idle_limit_test, connectionWithoutRequest_isClosedAtItsEnd) {
  auto Socket = connect();
  EXPECT_EQ("", readStatus(Socket));
}
