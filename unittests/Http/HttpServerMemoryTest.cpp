#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include "bluebellkeel/Http/FixedLimits.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

using namespace bluebellkeel;

namespace {

/// Answers each request with its body.
class body_handler final : public http_handler {
public:
  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context /*Yield*/) override {
    Responder.send(http_response(200, {}, Request.body()));
  }
};

/// A server that holds a few connections at a time.
class http_server_memory_test : public testing::Test {
protected:
  using tcp = boost::asio::ip::tcp;

  static constexpr std::size_t MaxConnections = 8;

  void SetUp() override { ASSERT_TRUE(Server.listen(Address)); }
  void TearDown() override { Pool.stop(); }

  tcp::socket connect() {
    tcp::socket Socket(Io);
    Socket.connect(tcp::endpoint(boost::asio::ip::make_address(Address.host()),
                                 Address.port()));
    return Socket;
  }
  /// Returns the status of the response; empty if the connection ends without
  /// one.
  static std::string exchange(tcp::socket &Socket) {
    boost::system::error_code Code;
    boost::asio::write(
        Socket,
        boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")),
        Code);
    std::string Text;
    boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Text),
                            "\r\n\r\n", Code);
    return Code ? "" : Text.substr(9, 3);
  }
  /// Waits until the server closes the connection; false on timeout.
  static bool awaitClosed(tcp::socket &Socket) {
    Socket.non_blocking(true);
    auto End = std::chrono::steady_clock::now() + seconds(5);
    boost::system::error_code Code = boost::asio::error::would_block;
    char Byte = 0;
    while (Code == boost::asio::error::would_block &&
           std::chrono::steady_clock::now() < End) {
      std::this_thread::sleep_for(milliseconds(1));
      Socket.read_some(boost::asio::buffer(&Byte, 1), Code);
    }
    return Code == boost::asio::error::eof;
  }
  /// Opens connections one after the other; each gets a response and is kept.
  std::vector<tcp::socket> keep(std::size_t Count) {
    std::vector<tcp::socket> Sockets;
    for (std::size_t I = 0; I < Count; ++I) {
      Sockets.push_back(connect());
      EXPECT_EQ("200", exchange(Sockets.back())) << I;
    }
    return Sockets;
  }

  network_address Address{"127.0.0.1", 21813};
  boost::asio::io_context Io;
  body_handler Handler;
  thread_pool Pool{2};
  std::shared_ptr<memory_budget> Memory =
      std::make_shared<memory_budget>(1000000);
  std::shared_ptr<const fixed_limits> Limits =
      std::make_shared<const fixed_limits>(
          http_limits(MaxConnections, 1000, milliseconds(1000)));
  http_server Server{Pool, Handler, Limits, Memory};
};

} // namespace

TEST_F(http_server_memory_test, closedConnections_leaveNothingHeld) {
  keep(MaxConnections / 2);
  auto End = std::chrono::steady_clock::now() + seconds(5);
  while (Memory->held() > 0 && std::chrono::steady_clock::now() < End)
    std::this_thread::sleep_for(milliseconds(1));
  EXPECT_EQ(0U, Memory->held());
}

// Guards against idle callers that keep others out until they time out.
TEST_F(http_server_memory_test, idleConnections_giveWayToNewOnes) {
  auto Kept = keep(3 * MaxConnections);
  EXPECT_EQ("", exchange(Kept.front()));
  EXPECT_EQ("200", exchange(Kept.back()));
}

// Guards against requests that are refused for the memory of idle callers.
TEST_F(http_server_memory_test, idleConnections_giveWayToRequests) {
  auto Kept = keep(3);
  memory_reservation Others(*Memory, memory_use::Urgent);
  ASSERT_TRUE(Others.growTo(700000));
  EXPECT_EQ("200", exchange(Kept.back()));
  EXPECT_TRUE(awaitClosed(Kept.front()));
}

// Guards against callers that wait for a response that does not come.
TEST_F(http_server_memory_test, requestWithoutMemory_isRefusedWithATime) {
  auto Socket = connect();
  EXPECT_EQ("200", exchange(Socket));
  memory_reservation Others(*Memory, memory_use::Urgent);
  ASSERT_TRUE(Others.growTo(900000));
  EXPECT_EQ("503", exchange(Socket));
  EXPECT_EQ(1U, Memory->refusals(memory_use::Request));
}

// Guards against callers that wait on a connection that nobody serves.
TEST_F(http_server_memory_test, connectionWithoutMemory_isClosedAtOnce) {
  memory_reservation Others(*Memory, memory_use::Urgent);
  ASSERT_TRUE(Others.growTo(1000000));
  auto Socket = connect();
  EXPECT_EQ("", exchange(Socket));
  EXPECT_EQ(1U, Memory->refusals(memory_use::Connection));
}

TEST_F(http_server_memory_test, memoryThatIsFreeAgain_servesCallers) {
  {
    memory_reservation Others(*Memory, memory_use::Urgent);
    ASSERT_TRUE(Others.growTo(900000));
    auto Socket = connect();
    EXPECT_EQ("503", exchange(Socket));
  }
  auto Socket = connect();
  EXPECT_EQ("200", exchange(Socket));
}

// Guards against requests that never end and keep others out.
TEST_F(http_server_memory_test, stalledRequests_giveWayToNewConnections) {
  std::vector<tcp::socket> Stalled;
  for (std::size_t I = 0; I < MaxConnections; ++I) {
    Stalled.push_back(connect());
    boost::asio::write(
        Stalled.back(),
        boost::asio::buffer(
            std::string("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nbegun")));
  }
  std::this_thread::sleep_for(milliseconds(1200));
  auto Socket = connect();
  EXPECT_EQ("200", exchange(Socket));
}

// Guards against a refused caller that loses the refusal to a reset.
TEST_F(http_server_memory_test, requestThatGivesWay_isRefusedAsNotRun) {
  auto Stalled = connect();
  boost::asio::write(
      Stalled, boost::asio::buffer(std::string(
                   "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nbegun")));
  std::this_thread::sleep_for(milliseconds(1200));
  memory_reservation Others(*Memory, memory_use::Urgent);
  ASSERT_TRUE(Others.growTo(800000));
  auto Socket = connect();
  EXPECT_EQ("200", exchange(Socket));
  std::string Text;
  boost::system::error_code Code;
  boost::asio::read_until(Stalled, boost::asio::dynamic_buffer(Text),
                          "\r\n\r\n", Code);
  EXPECT_EQ("503", Text.substr(9, 3));
}

// Guards against a request that no upstream can be sent.
TEST_F(http_server_memory_test, traceWithBody_isRefused) {
  auto Socket = connect();
  boost::asio::write(
      Socket, boost::asio::buffer(std::string(
                  "TRACE / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello")));
  std::string Text;
  boost::system::error_code Code;
  boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Text), "\r\n\r\n",
                          Code);
  EXPECT_EQ("400", Text.substr(9, 3));
}
