#include "CancellableStream.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include "bluebellkeel/Http/Await.h"
#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <gtest/gtest.h>
#include <stdexcept>

using namespace bluebellkeel;

namespace {

/// A limit that is never reached.
class distant_limit final : public time_limit {
public:
  monotonic_time at() const override {
    return std::chrono::steady_clock::now() + seconds(60);
  }
};

class cancellable_stream_test : public testing::Test {
protected:
  /// Runs \p Body in a coroutine to its end.
  void run(const std::function<void(boost::asio::yield_context)> &Body) {
    boost::asio::spawn(Io, Body, boost::asio::detached);
    Io.run();
  }

  boost::asio::io_context Io;
  system_clock Clock;
  distant_limit Limit;
  http_timeouts Timeouts{milliseconds(50), milliseconds(50), milliseconds(50)};
};

} // namespace

// Guards against a cancellation that reaches a stream which no longer exists.
TEST_F(cancellable_stream_test, attemptThatThrows_leavesNoStreamToCancel) {
  run([this](boost::asio::yield_context Yield) {
    auto Cancellation =
        std::make_shared<request_cancellation>(Yield.get_executor(), Clock);
    client_stream Stream(Yield, Timeouts);
    try {
      cancellable_stream Cancellable(Cancellation, Stream, Limit);
      throw std::runtime_error("unexpected");
    } catch (const std::runtime_error &) {
    }
    Cancellation->onCallerGone();
    // A cancelled stream reports its cancellation, not the refused connection.
    auto Response = Stream.open(network_address("127.0.0.1", 1),
                                http_request("GET", "/", {}, ""));
    ASSERT_FALSE(Response);
    EXPECT_EQ(http_error::ConnectFailed, Response.error());
  });
}

TEST_F(cancellable_stream_test, callerThatLeaves_cancelsTheStream) {
  run([this](boost::asio::yield_context Yield) {
    auto Cancellation =
        std::make_shared<request_cancellation>(Yield.get_executor(), Clock);
    client_stream Stream(Yield, Timeouts);
    cancellable_stream First(Cancellation, Stream, Limit);
    cancellable_stream Moved(std::move(First));
    Cancellation->onCallerGone();
    auto Response = Stream.open(network_address("127.0.0.1", 1),
                                http_request("GET", "/", {}, ""));
    ASSERT_FALSE(Response);
    EXPECT_EQ(http_error::Cancelled, Response.error());
    EXPECT_EQ(attempt_error::CallerGone,
              Moved.cancelReasonOr(attempt_error::Failed));
  });
}
