#include "bluebellkeel/Http/ClientStream.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include <atomic>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace asio = boost::asio;

using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Sends scripted bytes to a client, the last of them again and again until the
/// client closes.
class client_stream_test : public testing::Test {
protected:
  using exchange = std::function<void(client_stream &)>;

  client_stream_test()
      : Acceptor(Pool.context(),
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}
  ~client_stream_test() override { Pool.stop(); }

  /// Serves one connection with \p Start and then \p Repeated without end, and
  /// runs \p Exchange against it.
  void run(const std::string &Start, const std::string &Repeated,
           const exchange &Exchange) {
    asio::spawn(
        Pool.context(),
        [this, Start, Repeated](asio::yield_context Yield) {
          tcp::socket Socket(Pool.context());
          error_code Code;
          Acceptor.async_accept(Socket, Yield[Code]);
          asio::async_write(Socket, asio::buffer(Start), Yield[Code]);
          while (!Code)
            SentBytes +=
                asio::async_write(Socket, asio::buffer(Repeated), Yield[Code]);
        },
        asio::detached);
    std::promise<void> Done;
    asio::spawn(
        Pool.context(),
        [&](asio::yield_context Yield) {
          client_stream Stream(
              Yield, http_timeouts(seconds(1), seconds(20), seconds(20)));
          Exchange(Stream);
          Done.set_value();
        },
        asio::detached);
    // Well below the timeouts of the stream, which must not be what ends it.
    ASSERT_EQ(std::future_status::ready,
              Done.get_future().wait_for(seconds(10)));
  }

  /// Serves one connection with \p Response and ends it, with a reset if
  /// \p Reset, and returns the body as read by the client.
  tl::expected<std::string, http_error> readBody(const std::string &Response,
                                                 bool Reset) {
    asio::spawn(
        Pool.context(),
        [this, Response, Reset](asio::yield_context Yield) {
          tcp::socket Socket(Pool.context());
          error_code Code;
          Acceptor.async_accept(Socket, Yield[Code]);
          asio::async_write(Socket, asio::buffer(Response), Yield[Code]);
          std::string Request;
          asio::async_read_until(Socket, asio::dynamic_buffer(Request),
                                 "\r\n\r\n", Yield[Code]);
          // The client has the bytes sent so far before the connection ends.
          asio::steady_timer Timer(Pool.context(), milliseconds(100));
          Timer.async_wait(Yield[Code]);
          if (Reset)
            Socket.set_option(asio::socket_base::linger(true, 0), Code);
          Socket.close(Code);
        },
        asio::detached);
    std::promise<tl::expected<std::string, http_error>> Body;
    asio::spawn(
        Pool.context(),
        [&](asio::yield_context Yield) {
          client_stream Stream(
              Yield, http_timeouts(seconds(1), seconds(20), seconds(20)));
          EXPECT_TRUE(open(Stream));
          Body.set_value(Stream.readAll(MaxSocketBytes));
        },
        asio::detached);
    return Body.get_future().get();
  }

  /// Serves one connection with \p Response, closes it, and returns the head as
  /// read by the client.
  tl::expected<http_response, http_error>
  readHead(const std::string &Response) {
    asio::spawn(
        Pool.context(),
        [this, Response](asio::yield_context Yield) {
          tcp::socket Socket(Pool.context());
          error_code Code;
          Acceptor.async_accept(Socket, Yield[Code]);
          std::string Request;
          asio::async_read_until(Socket, asio::dynamic_buffer(Request),
                                 "\r\n\r\n", Yield[Code]);
          asio::async_write(Socket, asio::buffer(Response), Yield[Code]);
        },
        asio::detached);
    std::promise<tl::expected<http_response, http_error>> Head;
    asio::spawn(
        Pool.context(),
        [&](asio::yield_context Yield) {
          client_stream Stream(
              Yield, http_timeouts(seconds(1), seconds(20), seconds(20)));
          Head.set_value(open(Stream));
        },
        asio::detached);
    return Head.get_future().get();
  }

  tl::expected<http_response, http_error> open(client_stream &Stream) {
    network_address Address("127.0.0.1", Acceptor.local_endpoint().port());
    return Stream.open(Address, http_request("GET", "/", http_headers(), ""));
  }

  /// Bytes that may wait in the buffers of the two sockets.
  static constexpr std::size_t MaxSocketBytes = 16UL * 1024 * 1024;

  thread_pool Pool{2};
  tcp::acceptor Acceptor;
  std::atomic<std::size_t> SentBytes{0};
};

} // namespace

TEST_F(client_stream_test, bodyWithoutLength_endedByClose_isComplete) {
  auto Body = readBody("HTTP/1.1 200 OK\r\n\r\nbytes", /*Reset=*/false);
  ASSERT_TRUE(Body);
  EXPECT_EQ("bytes", *Body);
}

TEST_F(client_stream_test, bodyWithoutLength_endedByReset_failsAsClosed) {
  auto Body = readBody("HTTP/1.1 200 OK\r\n\r\nbytes", /*Reset=*/true);
  ASSERT_FALSE(Body);
  EXPECT_EQ(http_error::Closed, Body.error());
}

TEST_F(client_stream_test, chunkedBody_endedByClose_failsAsClosed) {
  auto Body = readBody(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n",
      /*Reset=*/false);
  ASSERT_FALSE(Body);
  EXPECT_EQ(http_error::Closed, Body.error());
}

TEST_F(client_stream_test, headWithoutEnd_failsAsTooLarge) {
  run("HTTP/1.1 200 OK\r\n", "X-Name: value\r\n", [&](client_stream &Stream) {
    auto Head = open(Stream);
    ASSERT_FALSE(Head);
    EXPECT_EQ(http_error::TooLarge, Head.error());
  });
  EXPECT_LT(SentBytes, MaxSocketBytes);
}

// Guards against a success with an empty body for a server that stopped in its
// head.
TEST_F(client_stream_test, headBrokenOffAtAnyLength_fails) {
  for (const char *Field : {"Content-Length: 5\r\n",
                            "Transfer-Encoding: chunked\r\n", "X: y\r\n"}) {
    std::string Head = std::string("HTTP/1.1 200 OK\r\n") + Field + "\r\n";
    for (std::size_t Length = 0; Length < Head.size(); ++Length) {
      auto Broken = readHead(Head.substr(0, Length));
      ASSERT_FALSE(Broken) << Head.substr(0, Length);
      EXPECT_EQ(http_error::Closed, Broken.error()) << Head.substr(0, Length);
    }
    EXPECT_TRUE(readHead(Head));
  }
}

// Guards against a process that runs out of memory for bytes that no parser
// consumes.
TEST_F(client_stream_test, chunkLineWithoutEnd_failsAsTooLarge) {
  run("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;name=",
      std::string(1000, 'x'), [&](client_stream &Stream) {
        ASSERT_TRUE(open(Stream));
        auto Piece = Stream.readSome();
        ASSERT_FALSE(Piece);
        EXPECT_EQ(http_error::TooLarge, Piece.error());
      });
  EXPECT_LT(SentBytes, MaxSocketBytes);
}

TEST_F(client_stream_test, trailersWithoutEnd_failAsTooLarge) {
  run("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nbytes\r\n0\r\n",
      "X-Name: value\r\n", [&](client_stream &Stream) {
        ASSERT_TRUE(open(Stream));
        auto Body = Stream.readAll(MaxSocketBytes);
        ASSERT_FALSE(Body);
        EXPECT_EQ(http_error::TooLarge, Body.error());
      });
  EXPECT_LT(SentBytes, MaxSocketBytes);
}

TEST_F(client_stream_test, headLineWithoutEnd_failsAsTooLarge) {
  run("HTTP/1.1 200 OK\r\nX-Name: ", std::string(1000, 'x'),
      [&](client_stream &Stream) {
        auto Head = open(Stream);
        ASSERT_FALSE(Head);
        EXPECT_EQ(http_error::TooLarge, Head.error());
      });
  EXPECT_LT(SentBytes, MaxSocketBytes);
}

TEST_F(client_stream_test, bytesThatAreNoResponse_failAsMalformed) {
  run("", "no response at all ", [&](client_stream &Stream) {
    auto Head = open(Stream);
    ASSERT_FALSE(Head);
    EXPECT_EQ(http_error::Malformed, Head.error());
  });
}

TEST_F(client_stream_test, interimResponsesWithoutEnd_failAsMalformed) {
  run("", "HTTP/1.1 100 Continue\r\n\r\n", [&](client_stream &Stream) {
    auto Head = open(Stream);
    ASSERT_FALSE(Head);
    EXPECT_EQ(http_error::Malformed, Head.error());
  });
  EXPECT_LT(SentBytes, MaxSocketBytes);
}

TEST_F(client_stream_test, bodyWithoutEnd_readWholeFailsAsTooLarge) {
  run("HTTP/1.1 200 OK\r\n\r\n", "bytes", [&](client_stream &Stream) {
    ASSERT_TRUE(open(Stream));
    constexpr std::size_t MaxBytes = 100000;
    auto Body = Stream.readAll(MaxBytes);
    ASSERT_FALSE(Body);
    EXPECT_EQ(http_error::TooLarge, Body.error());
  });
  EXPECT_LT(SentBytes, MaxSocketBytes);
}

TEST_F(client_stream_test, skippedBodyWithoutEnd_failsAsTooLarge) {
  run("HTTP/1.1 200 OK\r\n\r\n", "bytes", [&](client_stream &Stream) {
    ASSERT_TRUE(open(Stream));
    auto Next = Stream.nextResponse();
    ASSERT_FALSE(Next);
    EXPECT_EQ(http_error::TooLarge, Next.error());
  });
  EXPECT_LT(SentBytes, MaxSocketBytes);
}
