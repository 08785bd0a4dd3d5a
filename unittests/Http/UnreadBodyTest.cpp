#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include "bluebellkeel/Http/ClientStream.h"
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace asio = boost::asio;

using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// A server that responds without reading the body of the request, which is
/// larger than the buffers of the connection.
class unread_body_test : public testing::Test {
protected:
  using body = tl::expected<std::string, http_error>;

  unread_body_test()
      : Acceptor(Pool.context(),
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    Acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
  }
  ~unread_body_test() override { Pool.stop(); }

  /// Returns the body of a response that consists of \p Pieces, one every
  /// PieceInterval.
  body readBody(int Pieces, http_timeouts Timeouts) {
    asio::spawn(
        Pool.context(),
        [this, Pieces](asio::yield_context Yield) { serve(Pieces, Yield); },
        asio::detached);
    std::promise<body> Body;
    asio::spawn(
        asio::make_strand(Pool.context()),
        [&](asio::yield_context Yield) {
          client_stream Stream(Yield, Timeouts);
          network_address Address("127.0.0.1",
                                  Acceptor.local_endpoint().port());
          auto Head =
              Stream.open(Address, http_request("POST", "/", http_headers(),
                                                std::string(BodyBytes, 'x')));
          Body.set_value(Head ? readPatiently(Stream)
                              : body(tl::unexpected(Head.error())));
        },
        asio::detached);
    return Body.get_future().get();
  }

  static constexpr std::size_t BodyBytes = 4UL * 1024 * 1024;
  static constexpr milliseconds PieceInterval{200};

  int ReadTimeouts = 0;

private:
  /// Reads the rest of a body and counts the reads that time out.
  body readPatiently(client_stream &Stream) {
    std::string Body;
    while (true) {
      auto Piece = Stream.readSome();
      bool TimedOut = !Piece && Piece.error() == http_error::ReadTimeout;
      ReadTimeouts += TimedOut ? 1 : 0;
      if (TimedOut)
        continue;
      if (!Piece)
        return Piece;
      if (Piece->empty())
        return Body;
      Body += *Piece;
    }
  }

  void serve(int Pieces, const asio::yield_context &Yield) {
    tcp::socket Socket(Pool.context());
    error_code Code;
    Acceptor.async_accept(Socket, Yield[Code]);
    std::string Request;
    asio::async_read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n",
                           Yield[Code]);
    std::string Head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Pieces) +
        "\r\n\r\n";
    asio::async_write(Socket, asio::buffer(Head), Yield[Code]);
    for (int I = 0; I < Pieces && !Code; ++I) {
      asio::steady_timer Timer(Pool.context(), PieceInterval);
      Timer.async_wait(Yield[Code]);
      asio::async_write(Socket, asio::buffer("p", 1), Yield[Code]);
    }
  }

  thread_pool Pool{2};
  tcp::acceptor Acceptor;
};

} // namespace

// Guards against responses that are cut because the request is still being
// sent when the time to their first byte has passed.
TEST_F(unread_body_test, responseLongerThanFirstByteTimeout_isReadWhole) {
  constexpr int Pieces = 10;
  auto Body =
      readBody(Pieces, http_timeouts(seconds(1), seconds(1), seconds(1)));
  ASSERT_TRUE(Body) << toString(Body.error());
  EXPECT_EQ(std::string(Pieces, 'p'), *Body);
}

// Guards against responses that are cut because the other end, which is alive,
// takes no bytes for a while.
TEST_F(unread_body_test, responseLongerThanSilenceLimit_isReadWhole) {
  constexpr int Pieces = 30;
  auto Body =
      readBody(Pieces, http_timeouts(seconds(1), seconds(20), seconds(20)));
  ASSERT_TRUE(Body) << toString(Body.error());
  EXPECT_EQ(std::string(Pieces, 'p'), *Body);
}

// Guards against reads that end the connection when they time out.
TEST_F(unread_body_test, readTimesOut_bodyCanBeReadOn) {
  constexpr int Pieces = 4;
  auto Body = readBody(
      Pieces, http_timeouts(seconds(1), seconds(20), PieceInterval / 2));
  ASSERT_TRUE(Body) << toString(Body.error());
  EXPECT_EQ(std::string(Pieces, 'p'), *Body);
  EXPECT_GE(ReadTimeouts, Pieces - 1);
}
