#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include "bluebellkeel/Http/ClientStream.h"
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace asio = boost::asio;

using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Exchanges with a server that responds before it has read a long request, or
/// whose response has a status that is none.
class broken_exchange_test : public testing::Test {
protected:
  using body_result = tl::expected<std::string, http_error>;

  broken_exchange_test()
      : Acceptor(Pool.context(),
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}
  ~broken_exchange_test() override { Pool.stop(); }

  /// How the server ends the connection after its response.
  struct server_end {
    bool Reset = false;
    milliseconds Delay{0};
    /// Receive buffer of the server, in bytes; the system's default if 0.
    int ReceiveBuffer = 0;
    /// True if the server reads the rest of the request before it ends.
    bool ReadsOn = false;
  };

  /// Sends \p RequestBytes to a server that reads some of them, responds with
  /// \p Response and ends the connection as \p End says. Returns the body as
  /// read by the client.
  body_result exchange(const std::string &Response, std::size_t RequestBytes,
                       const server_end &End) {
    asio::spawn(
        Pool.context(),
        [this, Response, RequestBytes, End](asio::yield_context Yield) {
          serve(Response, RequestBytes, End, Yield);
        },
        asio::detached);
    std::promise<body_result> Body;
    asio::spawn(
        Pool.context(),
        [&](asio::yield_context Yield) {
          client_stream Stream(
              Yield, http_timeouts(seconds(1), seconds(20), seconds(20)));
          network_address Address("127.0.0.1",
                                  Acceptor.local_endpoint().port());
          auto Head = Stream.open(Address,
                                  http_request("POST", "/", http_headers(),
                                               std::string(RequestBytes, 'x')));
          Body.set_value(Head ? Stream.readAll(MaxBodyBytes)
                              : body_result(tl::unexpected(Head.error())));
        },
        asio::detached);
    return Body.get_future().get();
  }

  /// Expects that no response is taken as complete which a reset cut off while
  /// a request of \p RequestBytes was still being sent.
  void expectNoneComplete(std::size_t RequestBytes, int ReceiveBuffer) {
    for (milliseconds Delay :
         {milliseconds(0), milliseconds(5), milliseconds(50)}) {
      for (int Round = 0; Round < Rounds; ++Round) {
        auto Body = exchange("HTTP/1.1 200 OK\r\n\r\npartial", RequestBytes,
                             {/*Reset=*/true, Delay, ReceiveBuffer});
        EXPECT_FALSE(Body) << Delay.count() << " ms, round " << Round;
      }
    }
  }

  static constexpr std::size_t LongRequestBytes = 8UL * 1024 * 1024;
  static constexpr int Rounds = 20;

private:
  static constexpr std::size_t MaxBodyBytes = 1024UL * 1024;

  void serve(const std::string &Response, std::size_t RequestBytes,
             const server_end &End, asio::yield_context Yield) {
    constexpr std::size_t ReadBytes = 4096;
    error_code Code;
    if (End.ReceiveBuffer > 0)
      Acceptor.set_option(
          asio::socket_base::receive_buffer_size(End.ReceiveBuffer), Code);
    tcp::socket Socket(Pool.context());
    Acceptor.async_accept(Socket, Yield[Code]);
    std::string Request(ReadBytes, '\0');
    std::size_t Read =
        Socket.async_read_some(asio::buffer(Request), Yield[Code]);
    asio::async_write(Socket, asio::buffer(Response), Yield[Code]);
    asio::steady_timer Timer(Pool.context(), End.Delay);
    Timer.async_wait(Yield[Code]);
    // A close with unread bytes would reset the connection.
    std::size_t WholeBytes = Request.find("\r\n\r\n") + 4 + RequestBytes;
    while (End.ReadsOn && !Code && Read < WholeBytes)
      Read += Socket.async_read_some(asio::buffer(Request), Yield[Code]);
    if (End.Reset)
      Socket.set_option(asio::socket_base::linger(true, 0), Code);
    Socket.close(Code);
  }

  thread_pool Pool{2};
  tcp::acceptor Acceptor;
};

} // namespace

// The concurrent write takes the error of the socket, so that the read behind
// it ends as if the server had closed in order.
TEST_F(broken_exchange_test, resetDuringLongUpload_isNotComplete) {
  expectNoneComplete(LongRequestBytes, /*ReceiveBuffer=*/0);
}

TEST_F(broken_exchange_test, resetWithSmallBuffers_isNotComplete) {
  constexpr std::size_t RequestBytes = 300UL * 1024;
  constexpr int SmallBuffer = 4096;
  expectNoneComplete(RequestBytes, SmallBuffer);
}

TEST_F(broken_exchange_test, resetAfterShortUpload_isNotComplete) {
  expectNoneComplete(/*RequestBytes=*/100, /*ReceiveBuffer=*/0);
}

TEST_F(broken_exchange_test, closeAfterWholeUpload_isComplete) {
  for (int Round = 0; Round < Rounds; ++Round) {
    server_end End;
    End.ReadsOn = true;
    auto Body = exchange("HTTP/1.1 200 OK\r\n\r\nwhole", LongRequestBytes, End);
    ASSERT_TRUE(Body);
    EXPECT_EQ("whole", *Body);
  }
}

TEST_F(broken_exchange_test, statusThatIsNone_failsAsMalformed) {
  for (const char *Status : {"000", "099", "600", "999"}) {
    auto Body = exchange(std::string("HTTP/1.1 ") + Status +
                             " Odd\r\nContent-Length: 2\r\n\r\nno",
                         /*RequestBytes=*/100, {});
    ASSERT_FALSE(Body) << Status;
    EXPECT_EQ(http_error::Malformed, Body.error()) << Status;
  }
}

// Guards against a second head that is taken as the response.
TEST_F(broken_exchange_test, headAfterStatusThatIsNone_isNoResponse) {
  for (const char *Status : {"000", "101", "150", "199"}) {
    auto Body = exchange(
        std::string("HTTP/1.1 ") + Status +
            " Odd\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
        /*RequestBytes=*/100, {});
    ASSERT_FALSE(Body) << Status;
    EXPECT_EQ(http_error::Malformed, Body.error()) << Status;
  }
}

TEST_F(broken_exchange_test, knownInterimResponses_areSkipped) {
  for (const char *Status : {"100", "102", "103"}) {
    auto Body = exchange(
        std::string("HTTP/1.1 ") + Status +
            " Wait\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes",
        /*RequestBytes=*/100, {});
    ASSERT_TRUE(Body) << Status;
    EXPECT_EQ("yes", *Body) << Status;
  }
}
