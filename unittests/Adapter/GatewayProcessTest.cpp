#include "GatewayProcess.h"
#include "CallbackHandler.h"
#include "StoreStandin.h"
#include "absl/synchronization/notification.h"
#include "bluebellkeel/Http.h"
#include "bluebellkeel/Http/Await.h"
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// Runs a whole gateway on loopback with a store and two upstreams that the
/// tests control. The tests send requests over HTTP.
class gateway_process_test : public testing::Test {
protected:
  static constexpr std::uint16_t FirstPort = 23300;
  static constexpr milliseconds WaitTimeout{5000};

  gateway_process_test() {
    listen(StoreServer, 0);
    listen(FirstServer, 1);
    listen(SecondServer, 2);
    putConfiguration(2, 10000, {"key"});
    Store.put("keyed.servers", "u1", registration(1, "ready", 1));
    Store.put("keyed.servers", "u2", registration(2, "ready", 1));
    Gateway = std::make_unique<gateway_process>(settings());
    auto Started = Gateway->start();
    EXPECT_TRUE(Started.has_value()) << (Started ? "" : Started.error());
    EXPECT_TRUE(waitFor([this] { return readyStatus() == 200; }));
  }

  ~gateway_process_test() override {
    Gateway.reset();
    Pool.stop();
  }

  void listen(http_server &Server, int Offset) {
    auto Listening = Server.listen(address(Offset));
    ASSERT_TRUE(Listening.has_value()) << Listening.error();
  }

  /// Returns an address that is unique to this test process.
  static network_address address(int Offset) {
    int Id = getpid();
    return network_address("127.200." + std::to_string(Id / 254 % 254) + "." +
                               std::to_string(1 + Id % 254),
                           static_cast<std::uint16_t>(FirstPort + Offset));
  }

  static gateway_settings settings() {
    gateway_settings Settings;
    Settings.Instance = instance_id("edge-1");
    Settings.DataCentre = data_centre_id("north");
    Settings.LogAddress = address(0);
    Settings.CallerAddress = address(3);
    Settings.ReadyAddress = address(4);
    Settings.DirectoryAddress = address(5);
    Settings.PeerAddress = address(6);
    Settings.MetricsAddress = address(7);
    Settings.PeerKey = "a key for the tests";
    Settings.Memory = 64UL << 20;
    Settings.Reloadable.RetryRatio = 0.9;
    Settings.Reloadable.RetrySlack = 56;
    Settings.Reloadable.RetryWindow = milliseconds(10000);
    Settings.Reloadable.TrialShare = 0.15;
    Settings.Reloadable.Grace = milliseconds(1200);
    Settings.Reloadable.DirectoryTtl = milliseconds(5000);
    return Settings;
  }

  static std::string registration(int Upstream, const std::string &State,
                                  int Sequence) {
    return json({{"service", "desk"},
                 {"address", address(Upstream).text()},
                 {"zone", "north"},
                 {"version", "v1"},
                 {"slots", 6},
                 {"state", State},
                 {"cold_left_ms", 0},
                 {"seq", Sequence},
                 {"born", 1785798316334}})
        .dump();
  }

  void putConfiguration(int Version, int TimeoutMs,
                        const std::vector<std::string> &Keys) {
    auto Route = [&](const char *Kind, int Attempts) {
      return json({{"name", Kind},
                   {"host", "a.example"},
                   {"path_prefix", std::string("/") + Kind + "/"},
                   {"kind", Kind},
                   {"timeout_ms", TimeoutMs},
                   {"slo_ms", 200},
                   {"gap_slo_ms", 1000},
                   {"attempts", Attempts},
                   {"resumable", true},
                   {"service", "desk"}});
    };
    json Table = {{"version", Version},
                  {"routes",
                   {Route("idempotent", 2), Route("non_idempotent", 1),
                    Route("streaming", 3)}},
                  {"services", {{{"name", "desk"}}}},
                  {"tenants", {{{"name", "mill"}, {"api_keys", Keys}}}}};
    Store.put("keyed.op", "config", Table.dump());
  }

  static bool waitFor(const std::function<bool()> &Condition) {
    auto End = std::chrono::steady_clock::now() + WaitTimeout;
    absl::Notification Never;
    while (!Condition()) {
      if (std::chrono::steady_clock::now() >= End)
        return false;
      Never.WaitForNotificationWithTimeout(absl::Milliseconds(10));
    }
    return true;
  }

  int readyStatus() {
    auto Response =
        Client.send(address(4), http_request("GET", "/bluebellkeel/readyz",
                                             http_headers(), ""));
    return Response ? Response->status() : 0;
  }

  int directoryTtl() {
    auto Response = Client.send(
        address(5), http_request("GET", "/bluebellkeel/resolve?name=a.example",
                                 http_headers(), ""));
    return Response ? json::parse(Response->body()).value("ttl_s", 0) : 0;
  }

  static http_request request(const std::string &Kind,
                              const std::string &Key = "key") {
    return http_request("POST", "/" + Kind + "/x",
                        http_headers({{"Host", "a.example"},
                                      {"Bluebellkeel-Request-Id", "r1"},
                                      {"Bluebellkeel-Deadline-Ms", "4000"},
                                      {"Api-Key", Key},
                                      {"Bluebellkeel-Tenant", "forged"}}),
                        "body");
  }
  /// Returns the gateway's response; empty if it is incomplete.
  std::optional<http_response> call(const std::string &Kind,
                                    const std::string &Key = "key") {
    auto Response = Client.send(address(3), request(Kind, Key));
    if (!Response)
      return std::nullopt;
    return *Response;
  }

  /// Handles a request at either upstream. The number counts the requests so
  /// far, including this one.
  using action = std::function<void(int, const http_request &, http_responder &,
                                    boost::asio::yield_context)>;

  void setUpstreamAction(action NewAction) {
    absl::MutexLock Lock(&Mutex);
    Action = std::move(NewAction);
  }
  void onUpstream(const http_request &Request, http_responder &Responder,
                  boost::asio::yield_context Yield) {
    action CurrentAction;
    int Number = 0;
    {
      absl::MutexLock Lock(&Mutex);
      CurrentAction = Action;
      Number = ++Requests;
      LastTenant = Request.headers().get("Bluebellkeel-Tenant");
    }
    if (CurrentAction)
      CurrentAction(Number, Request, Responder, Yield);
    else
      Responder.send(okResponse("fine"));
  }
  int requests() {
    absl::MutexLock Lock(&Mutex);
    return Requests;
  }
  std::string lastTenant() {
    absl::MutexLock Lock(&Mutex);
    return LastTenant;
  }
  static http_response okResponse(const std::string &Body) {
    return http_response(200,
                         http_headers({{"Bluebellkeel-Request-Id", "r1"},
                                       {"Bluebellkeel-Server-Stamp", "s"}}),
                         Body);
  }

  static http_response withHeader(const http_response &Response,
                                  const std::string &Name,
                                  const std::string &Value) {
    return http_response(Response.status(),
                         Response.headers().with(Name, Value), Response.body());
  }

  thread_pool Pool{2};
  store_standin Store;
  callback_handler UpstreamHandler{
      [this](const auto &Request, auto &Responder, auto Yield) {
        onUpstream(Request, Responder, Yield);
      }};
  http_limits Limits{100, 1024UL * 1024, milliseconds(2000)};
  http_server StoreServer{Pool, Store, Limits};
  http_server FirstServer{Pool, UpstreamHandler, Limits};
  http_server SecondServer{Pool, UpstreamHandler, Limits};
  http_client Client{http_timeouts(milliseconds(1000), milliseconds(6000),
                                   milliseconds(6000))};
  absl::Mutex Mutex;
  action Action ABSL_GUARDED_BY(Mutex);
  int Requests ABSL_GUARDED_BY(Mutex) = 0;
  std::string LastTenant ABSL_GUARDED_BY(Mutex);
  std::unique_ptr<gateway_process> Gateway;
};

} // namespace

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

TEST_F(gateway_process_test, newConfiguration_takesEffectWithinTwoSeconds) {
  putConfiguration(3, 10000, {"other"});
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 401; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
  EXPECT_EQ(200, call("idempotent", "other")->status());
}

TEST_F(gateway_process_test,
       waitingReadNeverAnswered_newConfigurationTakesEffectWithinTwoSeconds) {
  // Ensures that the read of the settings is waiting.
  absl::Notification Never;
  Never.WaitForNotificationWithTimeout(absl::Milliseconds(300));
  Store.dropWaitingReads("keyed.op");
  putConfiguration(3, 10000, {"other"});
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 401; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
}

TEST_F(gateway_process_test,
       waitingReadNeverAnswered_leavingUpstreamsGetNoRequestsAfterTwoSeconds) {
  absl::Notification Never;
  Never.WaitForNotificationWithTimeout(absl::Milliseconds(300));
  Store.dropWaitingReads("keyed.servers");
  Store.put("keyed.servers", "u1", registration(1, "draining", 2));
  Store.put("keyed.servers", "u2", registration(2, "draining", 2));
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
}

TEST_F(gateway_process_test,
       waitingReadNeverAnswered_removedUpstreamsGetNoRequestsAfterTwoSeconds) {
  absl::Notification Never;
  Never.WaitForNotificationWithTimeout(absl::Milliseconds(300));
  Store.dropWaitingReads("keyed.servers");
  Store.put("keyed.servers", "u1", "");
  Store.put("keyed.servers", "u2", "");
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
}

TEST_F(gateway_process_test, topicCompactedWhileStoreIsBusy_changeTakesEffect) {
  Store.setFault(store_standin::fault::Busy);
  putConfiguration(3, 10000, {"other"});
  Store.compact("keyed.op");
  Store.setFault(store_standin::fault::None);
  EXPECT_TRUE(
      waitFor([this] { return call("idempotent", "other")->status() == 200; }));
}

TEST_F(gateway_process_test,
       storeRestoredFromCopy_newConfigurationTakesEffectWithinTwoSeconds) {
  auto Copy = Store.takeCopy();
  putConfiguration(3, 10000, {"key", "second"});
  putConfiguration(4, 10000, {"key", "third"});
  EXPECT_TRUE(
      waitFor([this] { return call("idempotent", "third")->status() == 200; }));
  Store.restore(Copy);
  putConfiguration(4, 10000, {"key", "third"});
  EXPECT_EQ(200, call("idempotent", "third")->status());
  putConfiguration(7, 10000, {"other"});
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 401; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
}

TEST_F(gateway_process_test, storeRestoredFromCopy_olderSettingsAreNotInForce) {
  auto Copy = Store.takeCopy();
  putConfiguration(3, 10000, {"other"});
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 401; }));
  Store.restore(Copy);
  absl::Notification Never;
  for (int I = 0; I < 30; ++I) {
    EXPECT_EQ(401, call("idempotent")->status());
    Never.WaitForNotificationWithTimeout(absl::Milliseconds(100));
  }
}

TEST_F(gateway_process_test,
       storeRestoredFromCopy_laterRegistrationsTakeEffectWithinTwoSeconds) {
  auto Copy = Store.takeCopy();
  for (int Sequence = 2; Sequence < 9; ++Sequence) {
    Store.put("keyed.servers", "u1", registration(1, "ready", Sequence));
    Store.put("keyed.servers", "u2", registration(2, "ready", Sequence));
  }
  absl::Notification Never;
  Never.WaitForNotificationWithTimeout(absl::Milliseconds(500));
  Store.restore(Copy);
  Never.WaitForNotificationWithTimeout(absl::Milliseconds(500));
  Store.put("keyed.servers", "u1", registration(1, "draining", 10));
  Store.put("keyed.servers", "u2", registration(2, "draining", 10));
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
}

TEST_F(gateway_process_test, storeRestoredFromCopy_instanceRegistersAgain) {
  auto Registered = [this] {
    return !Store.newest("keyed.instances", "edge-1").empty();
  };
  EXPECT_TRUE(waitFor(Registered));
  auto Copy = Store.takeCopy();
  Copy.erase("keyed.instances");
  Store.restore(Copy);
  EXPECT_FALSE(Registered());
  EXPECT_TRUE(waitFor(Registered));
}

TEST_F(gateway_process_test, oddRegistrationOfAnotherWriter_othersAreFollowed) {
  std::string TooLarge = registration(1, "ready", 1);
  TooLarge.replace(TooLarge.find("\"seq\":1"), 7,
                   "\"seq\":18446744073709551615");
  for (const std::string &Odd :
       {std::string(100000, '['), TooLarge, std::string("\xff\xfe\x00", 3),
        registration(1, "ready", 1).replace(12, 4, ":99999")})
    Store.put("keyed.servers", "odd", Odd);
  Store.put("keyed.servers", "u1", registration(1, "draining", 2));
  Store.put("keyed.servers", "u2", registration(2, "draining", 2));
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
  EXPECT_EQ(200, readyStatus());
}

TEST_F(gateway_process_test, oddKeyOfAnotherWriter_restoredListIsReadWhole) {
  auto Copy = Store.takeCopy();
  Store.setPageSize(1);
  Store.restore(Copy);
  Store.put("keyed.servers", "odd key&topic=keyed.op#%41\r\n?", "odd");
  Store.put("keyed.servers", "u1", registration(1, "draining", 2));
  Store.put("keyed.servers", "u2", registration(2, "draining", 2));
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
}

TEST_F(gateway_process_test, storeUnavailable_instanceKeepsServing) {
  Store.setFault(store_standin::fault::Busy);
  EXPECT_EQ(200, call("idempotent")->status());
  EXPECT_EQ(200, readyStatus());
}

TEST_F(gateway_process_test, leavingUpstreams_getNoNewRequests) {
  Store.put("keyed.servers", "u1", registration(1, "draining", 2));
  Store.put("keyed.servers", "u2", registration(2, "draining", 2));
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
  int Before = requests();
  call("idempotent");
  EXPECT_EQ(Before, requests());
}

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

TEST_F(gateway_process_test, completedRollOut_statusIsAppendedToTheLog) {
  Store.put("keyed.op", "rollout/desk",
            R"({"service":"desk","target":"v2","duration_s":1})");
  EXPECT_TRUE(waitFor([this] {
    return Store.newest("keyed.status", "rollout/desk").find("complete") !=
           std::string::npos;
  }));
}

TEST_F(gateway_process_test,
       statusAppendResponseLost_statusIsNotAppendedAgain) {
  Store.setFault(store_standin::fault::AnswersLost);
  Store.put("keyed.op", "rollout/desk",
            R"({"service":"desk","target":"v2","duration_s":600})");
  EXPECT_TRUE(waitFor([this] {
    return !Store.newest("keyed.status", "rollout/desk").empty();
  }));
  Store.setFault(store_standin::fault::None);
  absl::Notification Never;
  Never.WaitForNotificationWithTimeout(absl::Seconds(1));
  int Before = Store.calls();
  Never.WaitForNotificationWithTimeout(absl::Seconds(1));
  // Once the log holds the status, the publisher does not append it again.
  EXPECT_LE(Store.calls() - Before, 2);
}

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
