#include "PoolHold.h"
#include "absl/time/clock.h"
#include "bluebellkeel/Http.h"
#include "bluebellkeel/Http/Await.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <gtest/gtest.h>

using namespace bluebellkeel;

using tcp = boost::asio::ip::tcp;

namespace {

/// Sends empty responses; that to `/slow` comes after SlowTime.
class empty_handler final : public http_handler {
public:
  static constexpr milliseconds SlowTime{100};

  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override {
    ++Handled;
    if (Request.path() == "/slow")
      awaitTime(Yield, SlowTime);
    Responder.send(http_response(200, {}, ""));
  }

  std::atomic<int> Handled{0};
};

class http_server_stop_test : public testing::Test {
protected:
  static constexpr std::size_t Threads = 2;

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
  static void writeRequest(tcp::socket &Socket) {
    write(Socket, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  static void writeHalf(tcp::socket &Socket) {
    write(Socket, "POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
  }
  /// Returns all bytes until the connection ends.
  static std::string readToEnd(tcp::socket &Socket) {
    std::string Text;
    boost::system::error_code Code;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Text), Code);
    return Text;
  }
  static std::string readStatus(tcp::socket &Socket) {
    return readToEnd(Socket).substr(0, 12);
  }

  /// Sends a request and reads its response on a connection that stays open.
  tcp::socket connectAndRequest() {
    auto Socket = connect();
    writeRequest(Socket);
    std::string Response(12, ' ');
    boost::asio::read(Socket, boost::asio::buffer(Response));
    EXPECT_EQ("HTTP/1.1 200", Response);
    return Socket;
  }
  /// Sends requests, on a connection for as long as it is open, until no
  /// connection can be established. Returns the number of responses.
  int requestUntilClosed() {
    int Responses = 0;
    boost::asio::io_context CallerIo;
    boost::system::error_code ConnectError;
    while (!ConnectError) {
      tcp::socket Socket(CallerIo);
      Socket.connect(
          tcp::endpoint(boost::asio::ip::make_address(Address.host()),
                        Address.port()),
          ConnectError);
      while (!ConnectError && requestOn(Socket))
        ++Responses;
    }
    return Responses;
  }
  /// Returns true if the whole response has arrived.
  static bool requestOn(tcp::socket &Socket) {
    boost::system::error_code Code;
    std::string Response;
    boost::asio::write(
        Socket,
        boost::asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: x\r\n\r\n")),
        Code);
    boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Response),
                            "\r\n\r\n", Code);
    return !Code;
  }
  void closeIdle() {
    Server.drain();
    Server.closeIdle();
  }

  static constexpr milliseconds ShortWait{50};
  static constexpr milliseconds LongWait{5000};

  network_address Address{"127.0.0.1", 21813};
  boost::asio::io_context Io;
  empty_handler Handler;
  thread_pool Pool{Threads};
  http_server Server{Pool, Handler, http_limits(10, 1000, milliseconds(1000))};
};

} // namespace

// Guards against callers that send their next request on a connection that is
// about to be closed.
TEST_F(http_server_stop_test,
       disableKeepAlive_runningRequest_endsItsConnection) {
  auto Socket = connect();
  write(Socket, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
  absl::SleepFor(absl::FromChrono(empty_handler::SlowTime / 2));
  Server.disableKeepAlive();
  std::string Head;
  boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Head),
                          "\r\n\r\n");
  EXPECT_NE(std::string::npos, Head.find("Connection: close"));
}

// Guards against connections that are reset with the listening socket.
TEST_F(http_server_stop_test, drain_connectionsThatWaitToBeAccepted_areServed) {
  pool_hold Hold(Pool, Threads);
  std::vector<tcp::socket> Sockets;
  for (int I = 0; I < 4; ++I) {
    Sockets.push_back(connect());
    writeRequest(Sockets.back());
  }
  Server.drain();
  Hold.release();
  for (auto &Socket : Sockets)
    EXPECT_EQ("HTTP/1.1 200", readStatus(Socket));
}

TEST_F(http_server_stop_test, closeIdle_connectionWithoutRequest_isClosed) {
  auto Kept = connectAndRequest();
  auto New = connect();
  closeIdle();
  EXPECT_EQ(std::string::npos, readToEnd(Kept).find("HTTP"));
  EXPECT_EQ("", readToEnd(New));
  EXPECT_TRUE(Server.awaitClosed(LongWait));
  EXPECT_EQ(0U, Server.connections());
}

TEST_F(http_server_stop_test, closeIdle_requestThatWaitsToBeRead_isAnswered) {
  auto Kept = connectAndRequest();
  pool_hold Hold(Pool, Threads);
  auto New = connect();
  writeRequest(New);
  writeRequest(Kept);
  closeIdle();
  EXPECT_FALSE(Server.awaitClosed(ShortWait));
  Hold.release();
  EXPECT_EQ("HTTP/1.1 200", readStatus(New));
  EXPECT_NE(std::string::npos, readToEnd(Kept).find("HTTP/1.1 200"));
  EXPECT_TRUE(Server.awaitClosed(LongWait));
}

TEST_F(http_server_stop_test, closeIdle_requestInPart_isAnsweredOnceWhole) {
  auto Socket = connect();
  writeHalf(Socket);
  closeIdle();
  EXPECT_FALSE(Server.awaitClosed(ShortWait));
  write(Socket, "dy");
  EXPECT_EQ("HTTP/1.1 200", readStatus(Socket));
  EXPECT_TRUE(Server.awaitClosed(LongWait));
}

TEST_F(http_server_stop_test, refuseIncomplete_requestInPart_isRefused) {
  auto Socket = connect();
  writeHalf(Socket);
  closeIdle();
  EXPECT_FALSE(Server.awaitClosed(ShortWait));
  Server.refuseIncomplete();
  EXPECT_EQ("HTTP/1.1 503", readStatus(Socket));
  EXPECT_TRUE(Server.awaitClosed(LongWait));
}

TEST_F(http_server_stop_test,
       refuseIncomplete_restThatWaitsToBeRead_isAnswered) {
  auto Socket = connect();
  writeHalf(Socket);
  closeIdle();
  EXPECT_FALSE(Server.awaitClosed(ShortWait));
  pool_hold Hold(Pool, Threads);
  write(Socket, "dy");
  Server.refuseIncomplete();
  Hold.release();
  EXPECT_EQ("HTTP/1.1 200", readStatus(Socket));
}

// Guards against requests whose reads are interrupted between two of them.
TEST_F(http_server_stop_test,
       refuseIncomplete_requestInPartThatWaitsToBeRead_isRefused) {
  auto Kept = connectAndRequest();
  pool_hold Hold(Pool, Threads);
  writeHalf(Kept);
  closeIdle();
  Server.refuseIncomplete();
  Hold.release();
  ASSERT_TRUE(Server.awaitClosed(LongWait));
  EXPECT_NE(std::string::npos, readToEnd(Kept).find("HTTP/1.1 503"));
}

// Guards against requests that are read while another one runs and dropped.
TEST_F(http_server_stop_test,
       disableKeepAlive_requestThatArrivedDuringAnother_isAnswered) {
  auto Socket = connect();
  write(Socket, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n"
                "GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
  absl::SleepFor(absl::FromChrono(empty_handler::SlowTime / 2));
  Server.disableKeepAlive();
  EXPECT_TRUE(readToEnd(Socket).find("HTTP/1.1 200", 1) != std::string::npos);
  EXPECT_EQ(2, Handler.Handled);
}

TEST_F(http_server_stop_test, busyServer_closed_hasAnsweredAllItHandled) {
  constexpr int Callers = 8;
  std::vector<std::future<int>> Counts;
  Counts.reserve(Callers);
  for (int I = 0; I < Callers; ++I)
    Counts.push_back(std::async(std::launch::async,
                                [this] { return requestUntilClosed(); }));
  absl::SleepFor(absl::FromChrono(ShortWait));
  closeIdle();
  EXPECT_TRUE(Server.awaitClosed(LongWait));
  int Handled = Handler.Handled;
  Pool.stop();
  int Responses = 0;
  for (auto &Count : Counts)
    Responses += Count.get();
  EXPECT_GT(Handled, 0);
  EXPECT_EQ(Handled, Handler.Handled);
  EXPECT_EQ(Handled, Responses);
}
