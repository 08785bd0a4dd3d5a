#include "absl/synchronization/notification.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include "bluebellkeel/Http/Await.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace bluebellkeel;

using tcp = boost::asio::ip::tcp;

namespace {

/// Notes when a caller leaves while its first request is handled.
class watching_handler final : public http_handler {
public:
  static constexpr milliseconds HandlingTime{300};

  void handle(const http_request & /*Request*/, http_responder &Responder,
              boost::asio::yield_context Yield) override {
    if (!Begun.HasBeenNotified()) {
      Responder.watch([this] { CallerLeft.Notify(); });
      Begun.Notify();
    }
    awaitTime(Yield, HandlingTime);
    Responder.send(http_response(200, {}, ""));
  }

  absl::Notification Begun;
  absl::Notification CallerLeft;
};

class caller_leaves_test : public testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Server.listen(Address));
    Socket.connect(tcp::endpoint(boost::asio::ip::make_address(Address.host()),
                                 Address.port()));
    write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    Handler.Begun.WaitForNotification();
  }
  void TearDown() override { Pool.stop(); }

  void write(const std::string &Text) {
    boost::asio::write(Socket, boost::asio::buffer(Text));
  }
  bool callerLeft() {
    return Handler.CallerLeft.WaitForNotificationWithTimeout(
        absl::FromChrono(watching_handler::HandlingTime * 2));
  }
  /// Gives the server time to read what was written.
  static void pause() { absl::SleepFor(absl::Milliseconds(50)); }

  network_address Address{"127.0.0.1", 21816};
  boost::asio::io_context Io;
  watching_handler Handler;
  thread_pool Pool{2};
  http_server Server{Pool, Handler, http_limits(10, 1000, milliseconds(1000))};
  tcp::socket Socket{Io};
};

} // namespace

TEST_F(caller_leaves_test, duringItsRequest_isNoticed) {
  Socket.close();
  EXPECT_TRUE(callerLeft());
}

// Guards against work for callers that have left after they sent an empty line.
TEST_F(caller_leaves_test, afterFurtherBytes_isNoticed) {
  write("\r\n");
  pause();
  Socket.close();
  EXPECT_TRUE(callerLeft());
}

TEST_F(caller_leaves_test, afterNextRequestInParts_isNoticed) {
  write("GET /x HT");
  pause();
  write("TP/1.1\r\n\r\n");
  pause();
  Socket.close();
  EXPECT_TRUE(callerLeft());
}

TEST_F(caller_leaves_test, staysWithFurtherBytes_isNotTakenForGone) {
  write("x");
  EXPECT_FALSE(callerLeft());
}
