#include "GatewayFixture.h"
#include <map>

using namespace bluebellkeel;

TEST_F(gateway_process_test,
       limitNamedByUpstreams_isNotExceededInAnyFourSeconds) {
  constexpr double Limit = 3;
  constexpr double Allowed = 1.5 * Limit * 4 + 5;
  std::map<std::string, int> Counts;
  bool Counting = false;
  setUpstreamAction([&](int, const http_request &Request,
                        http_responder &Responder, boost::asio::yield_context) {
    {
      absl::MutexLock Lock(&Mutex);
      Counts[Request.headers().get("Bluebellkeel-Expect-Instance")] += Counting;
    }
    Responder.send(withHeader(okResponse("fine"), "Server-Limit", "3"));
  });
  auto CallFor = [this](milliseconds Time) {
    auto End = std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End)
      call("idempotent");
  };
  CallFor(milliseconds(1000));
  {
    absl::MutexLock Lock(&Mutex);
    Counting = true;
  }
  CallFor(milliseconds(4000));
  absl::MutexLock Lock(&Mutex);
  for (const auto &[Upstream, Count] : Counts)
    EXPECT_LE(Count, Allowed) << Upstream;
  EXPECT_EQ(2U, Counts.size());
}

TEST_F(gateway_process_test, upstreamsThatAnnounceToLeave_getNoNewRequests) {
  setUpstreamAction([](int, const http_request &, http_responder &Responder,
                       boost::asio::yield_context) {
    Responder.send(withHeader(okResponse("fine"), "Server-Leaving", "1"));
  });
  EXPECT_EQ(200, call("idempotent")->status());
  EXPECT_EQ(200, call("idempotent")->status());
  EXPECT_EQ(503, call("idempotent")->status());
  EXPECT_EQ(2, requests());
}

TEST_F(gateway_process_test, upstreamsThatAskForAPause_getNoRequestsMeanwhile) {
  setUpstreamAction([](int, const http_request &, http_responder &Responder,
                       boost::asio::yield_context) {
    Responder.send(
        http_response(503,
                      http_headers({{"Bluebellkeel-Not-Executed", "1"},
                                    {"Retry-After", "2"}}),
                      ""));
  });
  EXPECT_EQ(503, call("idempotent")->status());
  auto Response = call("idempotent");
  EXPECT_EQ(503, Response->status());
  EXPECT_GT(std::stod(Response->headers().get("Retry-After")), 1);
  EXPECT_EQ(2, requests());
  setUpstreamAction(nullptr);
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 200; }));
}

TEST_F(gateway_process_test, oddNotices_neitherEndTheProcessNorTheService) {
  for (const char *Value : {"0", "-1", "nan", "1e999", "x", ""}) {
    setUpstreamAction([Value](int, const http_request &,
                              http_responder &Responder,
                              boost::asio::yield_context) {
      Responder.send(
          withHeader(withHeader(okResponse("fine"), "Server-Limit", Value),
                     "Server-Leaving", Value));
    });
    for (int I = 0; I < 5; ++I)
      EXPECT_EQ(200, call("idempotent")->status()) << Value;
  }
}
