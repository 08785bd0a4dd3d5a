#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include "bluebellkeel/Http/Await.h"
#include "bluebellkeel/Http/FixedLimits.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <gtest/gtest.h>
#include <stdexcept>
#include <thread>

using namespace bluebellkeel;

namespace {

/// Echoes requests. `/half` returns before its response is complete; `/silent`
/// stalls in the middle of its response; `/throw` throws before its response
/// and `/half-throw` in the middle of it.
class echo_handler final : public http_handler {
public:
  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override {
    if (Request.path() == "/throw")
      throw std::runtime_error("unexpected");
    if (Request.path() == "/half-throw") {
      Responder.begin(200, {});
      Responder.write("half");
      throw std::runtime_error("unexpected");
    }
    if (Request.path() == "/half" || Request.path() == "/silent") {
      Responder.begin(200, {});
      Responder.write("half");
      if (Request.path() == "/silent")
        awaitTime(Yield, seconds(2));
      return;
    }
    Responder.send(http_response(200, Request.headers(), Request.body()));
  }

  void reportFailure(const http_request & /*Request*/,
                     const std::string &What) override {
    Failures.push_back(What);
  }

  std::vector<std::string> Failures;
};

class http_server_test : public testing::Test {
protected:
  static constexpr std::size_t MaxBody = 1000;

  void SetUp() override { ASSERT_TRUE(Server.listen(Address)); }
  void TearDown() override { Pool.stop(); }

  tl::expected<http_response, http_error> send(const std::string &Target,
                                               const std::string &Body = "") {
    return Client.send(
        Address,
        http_request("POST", Target, http_headers().with("X-Name", "v"), Body));
  }

  network_address Address{"127.0.0.1", 21811};
  echo_handler Handler;
  thread_pool Pool{2};
  http_server Server{Pool, Handler,
                     http_limits(10, MaxBody, milliseconds(1000))};
  http_client Client{
      http_timeouts(milliseconds(500), seconds(5), milliseconds(300))};
};

} // namespace

TEST_F(http_server_test, handlerThrows_onlyThatRequestFails) {
  auto Failed = send("/throw");
  ASSERT_TRUE(Failed);
  EXPECT_EQ(500, Failed->status());
  EXPECT_EQ(std::vector<std::string>{"unexpected"}, Handler.Failures);
  EXPECT_TRUE(send("/x", "body"));
  EXPECT_TRUE(Server.awaitIdle(milliseconds(1000)));
}

TEST_F(http_server_test, handlerThrowsInMidResponse_responseIsCut) {
  EXPECT_FALSE(send("/half-throw"));
  EXPECT_TRUE(send("/x", "body"));
}

TEST_F(http_server_test, taskThrows_poolRunsOn) {
  std::promise<void> Ran;
  boost::asio::post(Pool.context(),
                    [] { throw std::runtime_error("unexpected"); });
  boost::asio::post(Pool.context(),
                    [] { throw std::runtime_error("unexpected"); });
  boost::asio::post(Pool.context(), [&Ran] { Ran.set_value(); });
  EXPECT_EQ(std::future_status::ready, Ran.get_future().wait_for(seconds(5)));
}

TEST_F(http_server_test, request_withBodyAndHeader_deliversBoth) {
  auto Response = send("/x", "body");
  ASSERT_TRUE(Response);
  EXPECT_EQ("body", Response->body());
  EXPECT_EQ("v", Response->headers().get("x-name"));
}

TEST_F(http_server_test, response_cutShort_failsAsClosed) {
  auto Response = send("/half");
  ASSERT_FALSE(Response);
  EXPECT_EQ(http_error::Closed, Response.error());
}

TEST_F(http_server_test, response_thatStalls_failsWithReadTimeout) {
  auto Response = send("/silent");
  ASSERT_FALSE(Response);
  EXPECT_EQ(http_error::ReadTimeout, Response.error());
}

TEST_F(http_server_test, body_overLimit_isRefused) {
  auto Response = send("/x", std::string(MaxBody + 1, 'x'));
  ASSERT_TRUE(Response);
  EXPECT_EQ(413, Response->status());
}

TEST_F(http_server_test, connection_withoutListener_failsToConnect) {
  auto Response = Client.send(network_address("127.0.0.1", 1),
                              http_request("GET", "/", {}, ""));
  EXPECT_EQ(http_error::ConnectFailed, Response.error());
}

TEST_F(http_server_test, query_withEscapes_isDecoded) {
  http_request Request("GET", "/p?a=1&path=%2Fx%2Fy", {}, "");
  EXPECT_EQ("/x/y", Request.query("path"));
  EXPECT_EQ("", Request.query("none"));
}

namespace {

/// Limits that a test changes while the server runs.
class settable_limits final : public http_limit_source {
public:
  http_limits limits() const override {
    absl::MutexLock Lock(&Mutex);
    return Limits;
  }
  void set(http_limits NewLimits) {
    absl::MutexLock Lock(&Mutex);
    Limits = NewLimits;
  }

private:
  mutable absl::Mutex Mutex;
  http_limits Limits{10, 1000, milliseconds(1000)};
};

class http_server_limits_test : public testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(Server.listen(Address)); }
  void TearDown() override { Pool.stop(); }

  boost::asio::ip::tcp::socket connect() {
    boost::asio::ip::tcp::socket Socket(Io);
    Socket.connect(boost::asio::ip::tcp::endpoint(
        boost::asio::ip::make_address(Address.host()), Address.port()));
    return Socket;
  }
  static void writeText(boost::asio::ip::tcp::socket &Socket,
                        const std::string &Text) {
    boost::asio::write(Socket, boost::asio::buffer(Text));
  }
  /// Reads until the server closes the connection.
  static std::string readToEnd(boost::asio::ip::tcp::socket &Socket) {
    std::string Text;
    boost::system::error_code Code;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Text), Code);
    return Text;
  }
  static std::string requestHead(std::size_t Length) {
    return "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " +
           std::to_string(Length) + "\r\n\r\n";
  }

  network_address Address{"127.0.0.1", 21812};
  boost::asio::io_context Io;
  echo_handler Handler;
  thread_pool Pool{2};
  std::shared_ptr<settable_limits> Limits = std::make_shared<settable_limits>();
  std::shared_ptr<memory_budget> Memory =
      std::make_shared<memory_budget>(400000);
  http_server Server{Pool, Handler, Limits, Memory};
};

} // namespace

TEST_F(http_server_limits_test, connection_withoutRequest_isClosedWhenIdle) {
  Limits->set(Limits->limits().withIdle(milliseconds(100)));
  auto Socket = connect();
  EXPECT_EQ("", readToEnd(Socket));
}

TEST_F(http_server_limits_test, head_arrivingTooSlowly_closesConnection) {
  Limits->set(Limits->limits().withHeader(1000, milliseconds(100)));
  auto Socket = connect();
  writeText(Socket, "POST /x HTTP/1.1\r\n");
  EXPECT_EQ("", readToEnd(Socket));
}

TEST_F(http_server_limits_test, head_overLimit_isRefused) {
  Limits->set(Limits->limits().withHeader(200, seconds(5)));
  auto Socket = connect();
  writeText(Socket,
            "POST /x HTTP/1.1\r\nLong: " + std::string(500, 'x') + "\r\n\r\n");
  EXPECT_EQ("HTTP/1.1 431", readToEnd(Socket).substr(0, 12));
}

// Guards against callers that fill the memory with bytes that no parser
// consumes.
TEST_F(http_server_limits_test, chunkLineWithoutEnd_closesConnection) {
  constexpr std::size_t MaxSocketBytes = 16UL * 1024 * 1024;
  auto Socket = connect();
  writeText(Socket, "POST /x HTTP/1.1\r\nHost: x\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n5;name=");
  const std::string Bytes(10000, 'x');
  std::size_t Sent = 0;
  boost::system::error_code Code;
  while (!Code && Sent < MaxSocketBytes)
    Sent += boost::asio::write(Socket, boost::asio::buffer(Bytes), Code);
  EXPECT_TRUE(Code);
}

TEST_F(http_server_limits_test,
       changedLimit_onOpenConnection_appliesToNextRequest) {
  auto Socket = connect();
  writeText(Socket, requestHead(4) + "body");
  std::string First(12, ' ');
  boost::asio::read(Socket, boost::asio::buffer(First));
  EXPECT_EQ("HTTP/1.1 200", First);
  Limits->set(Limits->limits().withBody(3));
  writeText(Socket, requestHead(4) + "body");
  EXPECT_NE(std::string::npos, readToEnd(Socket).find("HTTP/1.1 413"));
}

// The memory holds one of the two bodies.
TEST_F(http_server_limits_test,
       body_overTotalLimit_isRefusedWhileAnotherIsBuffered) {
  constexpr std::size_t BodyBytes = 120000;
  Limits->set(Limits->limits().withBody(BodyBytes));
  auto Slow = connect();
  writeText(Slow, requestHead(BodyBytes) + "begun");
  auto Refused = connect();
  // The server may reserve memory for the second body before the first, so the
  // second request is retried. The first one is too if it was refused
  // meanwhile.
  std::string RawResponse;
  for (int Try = 0; Try < 100 && RawResponse.substr(0, 12) != "HTTP/1.1 503";
       ++Try) {
    if (Slow.available() > 0) {
      Slow = connect();
      writeText(Slow, requestHead(BodyBytes) + "begun");
    }
    Refused = connect();
    writeText(Refused, requestHead(BodyBytes));
    if (Try == 0)
      absl::SleepFor(absl::Milliseconds(100));
    Refused.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    RawResponse = readToEnd(Refused);
  }
  EXPECT_EQ("HTTP/1.1 503", RawResponse.substr(0, 12));
  EXPECT_NE(std::string::npos, RawResponse.find("\r\nRetry-After: "));
  writeText(Slow, std::string(BodyBytes - 5, 'x'));
  std::string First(12, ' ');
  boost::asio::read(Slow, boost::asio::buffer(First));
  EXPECT_EQ("HTTP/1.1 200", First);
}

// Guards against requests that are closed without an answer since an empty line
// follows the request before.
TEST_F(http_server_limits_test, emptyLine_beforeRequest_isSkipped) {
  auto Socket = connect();
  writeText(Socket, requestHead(4) + "body\r\n");
  std::string First(12, ' ');
  boost::asio::read(Socket, boost::asio::buffer(First));
  writeText(Socket, "POST /x HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_NE(std::string::npos, readToEnd(Socket).find("HTTP/1.1 200"));
}

// Guards against connections that are closed while callers may still use them.
TEST_F(http_server_limits_test, raisedIdleTime_holdsForIdleConnections) {
  constexpr milliseconds Short{200};
  Limits->set(Limits->limits().withIdle(Short));
  auto Socket = connect();
  writeText(Socket, requestHead(4) + "body");
  std::string First(12, ' ');
  boost::asio::read(Socket, boost::asio::buffer(First));
  std::this_thread::sleep_for(Short / 2);
  Limits->set(Limits->limits().withIdle(Short * 10));
  std::this_thread::sleep_for(Short);
  writeText(Socket, "POST /x HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_NE(std::string::npos, readToEnd(Socket).find("HTTP/1.1 200"));
}
