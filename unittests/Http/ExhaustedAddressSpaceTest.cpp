#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include <boost/asio/ip/tcp.hpp>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

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

/// A process that can map no memory for the stacks of further connections.
class exhausted_address_space_test : public testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Server.listen(Address));
    ASSERT_EQ(0, getrlimit(RLIMIT_AS, &Usual));
  }
  void TearDown() override {
    release();
    Pool.stop();
  }

  /// Leaves too little address space for a stack.
  void exhaust() const {
    constexpr rlim_t LeftBytes = 64UL * 1024;
    std::ifstream File("/proc/self/statm");
    rlim_t Pages = 0;
    File >> Pages;
    rlimit Limit = Usual;
    Limit.rlim_cur =
        Pages * static_cast<rlim_t>(sysconf(_SC_PAGESIZE)) + LeftBytes;
    ASSERT_EQ(0, setrlimit(RLIMIT_AS, &Limit));
  }
  void release() const { setrlimit(RLIMIT_AS, &Usual); }

  /// Connects, and returns once the server has closed the connection.
  void connectAndAwaitClose() {
    tcp::socket Socket(Io);
    Socket.connect(tcp::endpoint(boost::asio::ip::make_address(Address.host()),
                                 Address.port()));
    char Byte = 0;
    boost::system::error_code Code;
    Socket.read_some(boost::asio::buffer(&Byte, 1), Code);
    EXPECT_TRUE(Code);
  }
  /// Waits until the stacks of all connections have been returned.
  void awaitNoConnections() const {
    while (Server.connections() > 0)
      std::this_thread::sleep_for(milliseconds(1));
    std::this_thread::sleep_for(milliseconds(50));
  }
  int statusOfRequest() {
    auto Response =
        Client.send(Address, http_request("GET", "/", http_headers(), ""));
    return Response ? Response->status() : 0;
  }

  network_address Address{"127.0.0.1", 21819};
  boost::asio::io_context Io;
  empty_handler Handler;
  thread_pool Pool{2};
  http_server Server{Pool, Handler, http_limits(10, 1000, milliseconds(1000))};
  http_client Client{http_timeouts(seconds(1), seconds(1), seconds(1))};
  rlimit Usual = {};
};

} // namespace

// Guards against a server that accepts no connections any more once it had no
// memory for one.
TEST_F(exhausted_address_space_test, connectionWithoutStack_isClosed_alone) {
  EXPECT_EQ(200, statusOfRequest());
  awaitNoConnections();
  exhaust();
  connectAndAwaitClose();
  release();
  EXPECT_EQ(200, statusOfRequest());
}
