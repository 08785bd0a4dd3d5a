#ifndef UNITTESTS_ADAPTER_GATEWAYFIXTURE_H
#define UNITTESTS_ADAPTER_GATEWAYFIXTURE_H

#include "CallbackHandler.h"
#include "GatewayProcess.h"
#include "StoreStandin.h"
#include "absl/synchronization/notification.h"
#include "bluebellkeel/Http.h"
#include "bluebellkeel/Http/Await.h"
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace bluebellkeel {

/// Runs a whole gateway on loopback with a store and two upstreams that the
/// tests control. The tests send requests over HTTP.
class gateway_process_test : public testing::Test {
protected:
  using json = nlohmann::json;

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

  /// Returns a configuration that lacks the field with the accounts.
  static json configurationWithoutAccounts(int Version, int TimeoutMs) {
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
    return {{"version", Version},
            {"routes",
             {Route("idempotent", 2), Route("non_idempotent", 1),
              Route("streaming", 3)}},
            {"services", {{{"name", "desk"}}}}};
  }

  void putConfiguration(int Version, int TimeoutMs,
                        const std::vector<std::string> &Keys) {
    json Table = configurationWithoutAccounts(Version, TimeoutMs);
    Table["tenants"] = {{{"name", "mill"}, {"api_keys", Keys}}};
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

} // namespace bluebellkeel

#endif // UNITTESTS_ADAPTER_GATEWAYFIXTURE_H
