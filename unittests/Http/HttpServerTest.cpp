#include "bluebellkeel/Core.h"
#include "bluebellkeel/Http.h"
#include "bluebellkeel/Http/Await.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

/// Echoes; `/half` breaks its answer off, `/silent` stops half way.
class echo_handler final : public http_handler {
public:
  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override {
    if (Request.path() == "/half" || Request.path() == "/silent") {
      Responder.begin(200, {});
      Responder.write("half");
      if (Request.path() == "/silent")
        awaitTime(Yield, seconds(2));
      return;
    }
    Responder.send(http_response(200, Request.headers(), Request.body()));
  }
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

TEST_F(http_server_test, exchange_withBodyAndHeader_bringsBoth) {
  auto Response = send("/x", "body");
  ASSERT_TRUE(Response);
  EXPECT_EQ("body", Response->body());
  EXPECT_EQ("v", Response->headers().get("x-name"));
}

TEST_F(http_server_test, answer_brokenOff_isNotTakenForWhole) {
  auto Response = send("/half");
  ASSERT_FALSE(Response);
  EXPECT_EQ(http_error::Closed, Response.error());
}

TEST_F(http_server_test, answer_thatStops_endsWithATimeout) {
  auto Response = send("/silent");
  ASSERT_FALSE(Response);
  EXPECT_EQ(http_error::ReadTimeout, Response.error());
}

TEST_F(http_server_test, body_pastTheBound_isRefused) {
  auto Response = send("/x", std::string(MaxBody + 1, 'x'));
  ASSERT_TRUE(Response);
  EXPECT_EQ(413, Response->status());
}

TEST_F(http_server_test, connection_toNobody_failsToConnect) {
  auto Response = Client.send(network_address("127.0.0.1", 1),
                              http_request("GET", "/", {}, ""));
  EXPECT_EQ(http_error::ConnectFailed, Response.error());
}

TEST_F(http_server_test, query_withEscapes_isDecoded) {
  http_request Request("GET", "/p?a=1&path=%2Fx%2Fy", {}, "");
  EXPECT_EQ("/x/y", Request.query("path"));
  EXPECT_EQ("", Request.query("none"));
}
