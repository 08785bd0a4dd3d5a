#include "GatewayFixture.h"

using namespace bluebellkeel;

TEST_F(gateway_process_test, truncatedStream_isResumedAtAnotherUpstream) {
  setUpstreamAction([](int Number, const http_request &Request,
                       http_responder &Responder, boost::asio::yield_context) {
    auto Headers = http_headers()
                       .with("Bluebellkeel-Request-Id", "r1")
                       .with("Bluebellkeel-Server-Stamp", "s");
    Responder.begin(200, Headers);
    if (Number == 1) {
      Responder.write("id: 1\ndata: a\n\nid: 2\nda");
      Responder.abandon();
      return;
    }
    EXPECT_EQ("1", Request.headers().get("Last-Event-Id"));
    Responder.write("id: 2\ndata: b\n\n");
    Responder.end();
  });
  auto Response = call("streaming");
  ASSERT_TRUE(Response.has_value());
  EXPECT_EQ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Response->body());
}

TEST_F(gateway_process_test, responseForOtherRequest_isSkipped) {
  // The upstream sends a response to another request before the right one.
  setUpstreamAction([](int, const http_request &, http_responder &Responder,
                       boost::asio::yield_context) {
    Responder.send(
        http_response(200,
                      http_headers({{"Bluebellkeel-Request-Id", "other"},
                                    {"Bluebellkeel-Server-Stamp", "x"},
                                    {"Connection", "keep-alive"}}),
                      "not yours"));
    Responder.send(okResponse("yours"));
  });
  auto Response = call("non_idempotent");
  ASSERT_TRUE(Response.has_value());
  EXPECT_EQ("yours", Response->body());
}

TEST_F(gateway_process_test, refusalOfAnEarlierRequest_isNotTakenForThisOne) {
  setUpstreamAction([](int Number, const http_request &,
                       http_responder &Responder, boost::asio::yield_context) {
    Responder.send(
        http_response(503,
                      http_headers({{"Bluebellkeel-Request-Id", "earlier"},
                                    {"Bluebellkeel-Not-Executed", "1"},
                                    {"Retry-After", "5"},
                                    {"Connection", "keep-alive"}}),
                      "busy"));
    if (Number == 1)
      Responder.send(okResponse("ran"));
    else
      Responder.abandon();
  });
  EXPECT_EQ("ran", call("non_idempotent")->body());
  // The request may have run, so that no refusal may say that it has not.
  EXPECT_EQ(502, call("non_idempotent")->status());
  EXPECT_EQ(2, requests());
}

TEST_F(gateway_process_test,
       nonIdempotentRequest_responseLost_returns502AndRunsOnce) {
  setUpstreamAction([](int, const http_request &, http_responder &Responder,
                       boost::asio::yield_context) { Responder.abandon(); });
  auto Response = call("non_idempotent");
  ASSERT_TRUE(Response.has_value());
  EXPECT_EQ(502, Response->status());
  EXPECT_EQ(1, requests());
}

TEST_F(gateway_process_test, upstreamsRefuseRequest_returns503WithRetryAfter) {
  setUpstreamAction([](int, const http_request &, http_responder &Responder,
                       boost::asio::yield_context) {
    Responder.send(http_response(
        503, http_headers().with("Bluebellkeel-Not-Executed", "1"), ""));
  });
  auto Response = call("non_idempotent");
  ASSERT_TRUE(Response.has_value());
  EXPECT_EQ(503, Response->status());
  EXPECT_NE("", Response->headers().get("Retry-After"));
}

// Guards against streams that end with the upstreams that could have gone on
// with them.
TEST_F(gateway_process_test, streamPausesWhileUpstreamsDrain_isWhole) {
  setUpstreamAction([this](int, const http_request &, http_responder &Responder,
                           boost::asio::yield_context Yield) {
    Responder.begin(200, http_headers()
                             .with("Bluebellkeel-Request-Id", "r1")
                             .with("Bluebellkeel-Server-Stamp", "s"));
    Responder.write("id: 1\ndata: a\n\n");
    Store.put("keyed.servers", "u1", registration(1, "draining", 2));
    Store.put("keyed.servers", "u2", registration(2, "draining", 2));
    awaitTime(Yield, milliseconds(3000));
    Responder.write("id: 2\ndata: b\n\n");
    Responder.end();
  });
  auto Response = call("streaming");
  ASSERT_TRUE(Response.has_value());
  EXPECT_EQ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Response->body());
}
