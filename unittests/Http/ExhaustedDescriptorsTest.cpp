#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <ctime>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

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

/// A process that has no file descriptor left.
class exhausted_descriptors_test : public testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(Server.listen(Address)); }
  void TearDown() override {
    release();
    Pool.stop();
  }

  /// Opens files until none can be opened.
  void exhaust() {
    for (int File = dup(0); File >= 0; File = dup(0))
      Files.push_back(File);
  }
  void release() {
    for (int File : Files)
      close(File);
    Files.clear();
  }
  static milliseconds processorTime() {
    timespec Time = {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
    return std::chrono::duration_cast<milliseconds>(
        seconds(Time.tv_sec) + std::chrono::nanoseconds(Time.tv_nsec));
  }

  network_address Address{"127.0.0.1", 21815};
  boost::asio::io_context Io;
  empty_handler Handler;
  thread_pool Pool{2};
  http_server Server{Pool, Handler, http_limits(10, 1000, milliseconds(1000))};
  std::vector<int> Files;
};

} // namespace

// Guards against a server that tries again and again to accept a connection for
// which it has no descriptor.
TEST_F(exhausted_descriptors_test,
       connectionWaits_isServedLater_withoutSpinning) {
  constexpr milliseconds Time{500};
  tcp::socket Socket(Io, tcp::v4());
  exhaust();
  Socket.connect(tcp::endpoint(boost::asio::ip::make_address(Address.host()),
                               Address.port()));
  boost::asio::write(Socket, boost::asio::buffer(std::string(
                                 "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")));
  milliseconds Before = processorTime();
  std::this_thread::sleep_for(Time);
  milliseconds Used = processorTime() - Before;
  EXPECT_LT(Used, Time / 10);
  release();
  std::string Start(12, ' ');
  boost::asio::read(Socket, boost::asio::buffer(Start));
  EXPECT_EQ("HTTP/1.1 200", Start);
}
