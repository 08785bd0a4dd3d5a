#include "GatewayFixture.h"
#include <cstdio>
#include <fstream>
#include <thread>

using namespace bluebellkeel;

TEST_F(gateway_process_test, validRequest_isForwardedWithItsAccount) {
  auto Response = call("non_idempotent");
  ASSERT_TRUE(Response.has_value());
  EXPECT_EQ(200, Response->status());
  EXPECT_EQ("fine", Response->body());
  EXPECT_EQ("s", Response->headers().get("Bluebellkeel-Server-Stamp"));
  EXPECT_EQ("mill", lastTenant());
}

TEST_F(gateway_process_test, directory_listsThisInstance) {
  auto Response = Client.send(
      address(5), http_request("GET",
                               "/bluebellkeel/resolve?name=a.example&region="
                               "r&zone=north",
                               http_headers(), ""));
  ASSERT_TRUE(Response.has_value());
  json ResponseJson = json::parse(Response->body());
  EXPECT_EQ(address(3).text(), ResponseJson["addresses"][0].get<std::string>());
  EXPECT_GT(ResponseJson["ttl_s"].get<int>(), 0);
}

TEST_F(gateway_process_test, metrics_areServed) {
  call("idempotent");
  auto Response = Client.send(
      address(7), http_request("GET", "/metrics", http_headers(), ""));
  ASSERT_TRUE(Response.has_value());
  EXPECT_NE(std::string::npos,
            Response->body().find("bluebellkeel_refusals_total"));
}

TEST_F(gateway_process_test, metrics_ofAReadyGateway_showMemoryAndCallers) {
  auto Shows = [this](const std::string &Gauge) {
    auto Response = Client.send(
        address(7), http_request("GET", "/metrics", http_headers(), ""));
    return Response && Response->body().find("bluebellkeel_state{of=\"" +
                                             Gauge) != std::string::npos;
  };
  for (const char *Gauge : {"resident_bytes\"} ", "caller_connections\"} ",
                            "active_requests\"} ", "held_bytes\"} "})
    EXPECT_TRUE(waitFor([&] { return Shows(Gauge); })) << Gauge;
}

TEST_F(gateway_process_test, routeTimeout_endsHangingRequest) {
  putConfiguration(3, 400, {"key"});
  setUpstreamAction([](int, const http_request &, http_responder &Responder,
                       boost::asio::yield_context Yield) {
    awaitTime(Yield, milliseconds(3000));
    Responder.abandon();
  });
  EXPECT_TRUE(waitFor([this] {
    auto Start = std::chrono::steady_clock::now();
    auto Response = call("non_idempotent");
    return Response && Response->status() == 504 &&
           std::chrono::steady_clock::now() - Start < milliseconds(900);
  }));
}

TEST_F(gateway_process_test, callerDisconnects_upstreamRequestIsCancelled) {
  absl::Notification Disconnected;
  setUpstreamAction([&Disconnected](int, const http_request &,
                                    http_responder &Responder,
                                    boost::asio::yield_context Yield) {
    Responder.watch([&Disconnected] {
      if (!Disconnected.HasBeenNotified())
        Disconnected.Notify();
    });
    awaitTime(Yield, milliseconds(2000));
    Responder.abandon();
  });
  http_client ShortTimeoutClient(
      http_timeouts(milliseconds(1000), milliseconds(200), milliseconds(200)));
  EXPECT_FALSE(
      ShortTimeoutClient.send(address(3), request("idempotent")).has_value());
  EXPECT_TRUE(
      Disconnected.WaitForNotificationWithTimeout(absl::Milliseconds(500)));
}

TEST_F(gateway_process_test,
       shutDown_completesRunningRequestAndReportsNotReady) {
  setUpstreamAction([](int, const http_request &, http_responder &Responder,
                       boost::asio::yield_context Yield) {
    awaitTime(Yield, milliseconds(400));
    Responder.send(okResponse("late"));
  });
  std::optional<http_response> Response;
  std::thread Caller([&] { Response = call("non_idempotent"); });
  EXPECT_TRUE(waitFor([this] { return requests() == 1; }));
  std::thread Stopper([this] { Gateway->shutDown(); });
  EXPECT_TRUE(waitFor([this] { return readyStatus() == 503; }));
  Caller.join();
  ASSERT_TRUE(Response.has_value());
  EXPECT_EQ("late", Response->body());
  Stopper.join();
}

// Guards against connections that are closed without an answer when the grace
// period ends.
TEST_F(gateway_process_test, shutDown_requestThatRunsAtItsEnd_getsAnAnswer) {
  setUpstreamAction([](int, const http_request &, http_responder &Responder,
                       boost::asio::yield_context Yield) {
    awaitTime(Yield, milliseconds(2500));
    Responder.send(okResponse("too late"));
  });
  std::optional<http_response> Response;
  std::thread Caller([&] { Response = call("non_idempotent"); });
  EXPECT_TRUE(waitFor([this] { return requests() == 1; }));
  Gateway->shutDown();
  Caller.join();
  ASSERT_TRUE(Response.has_value());
  EXPECT_EQ(504, Response->status());
}

// Guards against requests that are admitted late in a shutdown and cut.
TEST_F(gateway_process_test, shutDown_lateRequestThatMayOutlastIt_isRefused) {
  setUpstreamAction([](int Number, const http_request &,
                       http_responder &Responder,
                       boost::asio::yield_context Yield) {
    awaitTime(Yield, milliseconds(Number == 1 ? 2500 : 1));
    Responder.send(okResponse("done"));
  });
  std::thread Running([&] { call("non_idempotent"); });
  EXPECT_TRUE(waitFor([this] { return requests() == 1; }));
  std::thread Stopper([this] { Gateway->shutDown(); });
  EXPECT_TRUE(waitFor([this] { return readyStatus() == 503; }));
  absl::SleepFor(absl::Milliseconds(400));
  auto Late = call("non_idempotent");
  ASSERT_TRUE(Late.has_value());
  EXPECT_EQ(503, Late->status());
  EXPECT_EQ(1, requests());
  Running.join();
  Stopper.join();
}

TEST_F(gateway_process_test, changedSettingsFile_isReloadedWithoutSignal) {
  const std::string Path = testing::TempDir() + "gateway_process_test.json";
  std::ofstream(Path) << "5";
  Gateway->watch(Path, [](const std::string &File) {
    int TtlSeconds = 0;
    std::ifstream(File) >> TtlSeconds;
    auto Changed = settings();
    Changed.Reloadable.DirectoryTtl = seconds(TtlSeconds);
    return std::optional(Changed);
  });
  EXPECT_EQ(2, directoryTtl());
  std::ofstream(Path) << "1";
  EXPECT_TRUE(waitFor([&] { return directoryTtl() == 1; }));
  std::remove(Path.c_str());
}
