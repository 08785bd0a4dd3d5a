#include "absl/time/clock.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include "bluebellkeel/Http/Await.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace bluebellkeel;

using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Sends a long response after a while.
class long_response_handler final : public http_handler {
public:
  static constexpr std::size_t Bytes = 1024UL * 1024;
  static constexpr milliseconds Delay{100};

  void handle(const http_request & /*Request*/, http_responder &Responder,
              boost::asio::yield_context Yield) override {
    awaitTime(Yield, Delay);
    Responder.send(http_response(200, {}, std::string(Bytes, 'x')));
  }
};

class lingering_close_test : public testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(Server.listen(Address)); }
  void TearDown() override { Pool.stop(); }

  /// Returns a connection that takes few bytes before they are read.
  tcp::socket connect() {
    tcp::socket Socket(Io, tcp::v4());
    Socket.set_option(boost::asio::socket_base::receive_buffer_size(8192));
    Socket.connect(tcp::endpoint(boost::asio::ip::make_address(Address.host()),
                                 Address.port()));
    return Socket;
  }
  static error_code write(tcp::socket &Socket, const std::string &Text) {
    error_code Code;
    boost::asio::write(Socket, boost::asio::buffer(Text), Code);
    return Code;
  }
  /// Returns all bytes until the connection ends.
  static std::string readToEnd(tcp::socket &Socket, error_code &Code) {
    std::string Text;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Text), Code);
    return Text;
  }
  static std::string requestHead(std::size_t Length) {
    return "POST /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(Length) + "\r\n\r\n";
  }

  static constexpr std::size_t MaxBody = 1000;
  static constexpr std::size_t LongBody = 3UL * 1024 * 1024;
  static constexpr milliseconds LongWait{5000};

  network_address Address{"127.0.0.1", 21814};
  boost::asio::io_context Io;
  long_response_handler Handler;
  thread_pool Pool{2};
  http_server Server{Pool, Handler, http_limits(10, MaxBody, LongWait)};
};

} // namespace

// Guards against refusals that are lost since their connection is reset.
TEST_F(lingering_close_test,
       refusal_callerStillWritesItsBody_isReadAfterwards) {
  auto Socket = connect();
  EXPECT_FALSE(write(Socket, requestHead(LongBody)));
  EXPECT_FALSE(write(Socket, std::string(LongBody, 'x')));
  error_code Code;
  EXPECT_EQ("HTTP/1.1 413", readToEnd(Socket, Code).substr(0, 12));
  EXPECT_EQ(boost::asio::error::eof, Code);
}

// Guards against responses whose end is lost since their connection is reset.
TEST_F(lingering_close_test, response_callerSendsFurtherBytes_isWhole) {
  auto Socket = connect();
  EXPECT_FALSE(write(Socket, requestHead(0)));
  absl::SleepFor(absl::FromChrono(long_response_handler::Delay / 2));
  EXPECT_FALSE(write(Socket, "\r\n"));
  error_code Code;
  EXPECT_LT(long_response_handler::Bytes, readToEnd(Socket, Code).size());
  EXPECT_EQ(boost::asio::error::eof, Code);
}

TEST_F(lingering_close_test, callerNeverCloses_connectionEndsAllTheSame) {
  auto Socket = connect();
  EXPECT_FALSE(write(Socket, requestHead(LongBody)));
  std::string Start(12, ' ');
  boost::asio::read(Socket, boost::asio::buffer(Start));
  Server.drain();
  EXPECT_TRUE(Server.awaitClosed(LongWait));
}

TEST_F(lingering_close_test, callerSendsWithoutEnd_connectionIsReset) {
  constexpr std::size_t MaxSocketBytes = 64UL * 1024 * 1024;
  auto Socket = connect();
  EXPECT_FALSE(write(Socket, requestHead(MaxSocketBytes)));
  const std::string Bytes(10000, 'x');
  error_code Code;
  for (std::size_t Sent = 0; !Code && Sent < MaxSocketBytes;
       Sent += Bytes.size())
    Code = write(Socket, Bytes);
  EXPECT_TRUE(Code);
}

TEST_F(lingering_close_test, callerLeaves_connectionEndsAtOnce) {
  auto Socket = connect();
  EXPECT_FALSE(write(Socket, requestHead(LongBody)));
  std::string Start(12, ' ');
  boost::asio::read(Socket, boost::asio::buffer(Start));
  Socket.close();
  Server.drain();
  EXPECT_TRUE(Server.awaitClosed(milliseconds(500)));
}
