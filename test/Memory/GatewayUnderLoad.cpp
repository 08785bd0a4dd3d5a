#include "GatewayUnderLoad.h"
#include "absl/time/clock.h"
#include "bluebellkeel/Http/Await.h"
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace bluebellkeel;

using nlohmann::json;

static constexpr std::size_t LargeAnswerBytes = 250000;
static constexpr std::size_t HugeAnswerBytes = 400000;
static constexpr std::size_t LargeEventBytes = 60000;
static constexpr seconds StartTimeout{10};

static json routeOf(const char *Name, const char *Kind) {
  return {{"name", Name},
          {"host", "a.example"},
          {"path_prefix", std::string("/") + Name + "/"},
          {"kind", Kind},
          {"timeout_ms", 60000},
          {"slo_ms", 1000},
          {"gap_slo_ms", 1000},
          {"attempts", 1},
          {"resumable", false},
          {"service", "desk"}};
}

static http_headers headersFor(const http_request &Request) {
  return http_headers({{"Bluebellkeel-Request-Id",
                        Request.headers().get("Bluebellkeel-Request-Id")},
                       {"Bluebellkeel-Server-Stamp", "s"}});
}

network_address gateway_under_load::address(int Offset) {
  int Id = getpid();
  return network_address("127.201." + std::to_string(Id / 250 % 250) + "." +
                             std::to_string(1 + Id % 250),
                         static_cast<std::uint16_t>(23400 + Offset));
}

gateway_under_load::gateway_under_load(std::size_t MemoryMb)
    : Folder((std::filesystem::temp_directory_path() /
              ("gateway-memory-" + std::to_string(getpid())))
                 .string()) {
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
  StoreServer.listen(address(0));
  UpstreamServer.listen(address(1));
  json Table = {
      {"version", 1},
      {"routes",
       {routeOf("once", "non_idempotent"), routeOf("stream", "streaming")}},
      {"services", {{{"name", "desk"}}}}};
  Store.put("keyed.op", "config", Table.dump());
  json Registration = {{"service", "desk"},    {"address", address(1).text()},
                       {"zone", "north"},      {"version", "v1"},
                       {"slots", 4000},        {"state", "ready"},
                       {"cold_left_ms", 0},    {"seq", 1},
                       {"born", 1785798316334}};
  Store.put("keyed.servers", "u1", Registration.dump());
  Gateway = std::make_unique<child_process>(
      std::vector<std::string>{GATEWAY_PATH},
      std::vector<std::string>{"BLUEBELLKEEL_CONFIG=" +
                               writeSettings(MemoryMb)},
      Folder + "/log");
}

gateway_under_load::~gateway_under_load() {
  Gateway.reset();
  Pool.stop();
  std::filesystem::remove_all(Folder);
}

std::string gateway_under_load::writeSettings(std::size_t MemoryMb) const {
  json Settings = {{"instance", "g1"},
                   {"data_centre", "north"},
                   {"log", address(0).text()},
                   {"listen",
                    {{"callers", callers().text()},
                     {"ready", address(11).text()},
                     {"directory", address(12).text()},
                     {"peers", address(13).text()},
                     {"metrics", address(14).text()}}},
                   {"peers",
                    {{"seeds", json::array({address(13).text()})},
                     {"key", "a key for the tests"}}},
                   {"rules",
                    {{"retry_ratio", 0.9},
                     {"retry_slack", 56},
                     {"retry_window_s", 10},
                     {"trial_share", 0.15},
                     {"grace_s", 8},
                     {"advice_life_s", 5}}},
                   {"memory_mb", MemoryMb}};
  std::string Path = Folder + "/settings.json";
  std::ofstream(Path) << Settings.dump();
  return Path;
}

bool gateway_under_load::awaitReady() {
  auto End = absl::Now() + absl::FromChrono(StartTimeout);
  while (absl::Now() < End) {
    auto Response =
        Client.send(address(11), http_request("GET", "/bluebellkeel/readyz",
                                              http_headers(), ""));
    if (Response && Response->status() == 200)
      return true;
    absl::SleepFor(absl::Milliseconds(20));
  }
  return false;
}

std::size_t gateway_under_load::peakMemory() const {
  constexpr std::size_t BytesPerKb = 1024;
  std::ifstream File("/proc/" + std::to_string(Gateway->id()) + "/status");
  std::string Word;
  std::size_t Kilobytes = 0;
  while (File >> Word && Word != "VmHWM:") {
  }
  File >> Kilobytes;
  return Kilobytes * BytesPerKb;
}

std::size_t gateway_under_load::openDescriptors() const {
  std::filesystem::directory_iterator Files(
      "/proc/" + std::to_string(Gateway->id()) + "/fd");
  return static_cast<std::size_t>(
      std::distance(Files, std::filesystem::directory_iterator()));
}

int gateway_under_load::statusOfOrdinaryRequest() const {
  constexpr std::size_t BodyBytes = 12000;
  auto Response = Client.send(
      callers(),
      http_request("POST", "/once/quick",
                   http_headers({{"Host", "a.example"},
                                 {"Bluebellkeel-Request-Id", "ordinary"},
                                 {"Bluebellkeel-Deadline-Ms", "5000"}}),
                   std::string(BodyBytes, 'b')));
  return Response ? Response->status() : 0;
}

std::string gateway_under_load::metrics() {
  auto Response = Client.send(
      address(14), http_request("GET", "/metrics", http_headers(), ""));
  return Response ? Response->body() : "";
}

int gateway_under_load::statusOf(const network_address &Address,
                                 const std::string &Target) const {
  auto Response =
      Client.send(Address, http_request("GET", Target, http_headers(), ""));
  return Response ? Response->status() : 0;
}

std::string gateway_under_load::log() const {
  std::ifstream File(Folder + "/log");
  return {std::istreambuf_iterator<char>(File), {}};
}

void gateway_under_load::answer(const http_request &Request,
                                http_responder &Responder,
                                boost::asio::yield_context Yield) {
  constexpr int Ok = 200;
  ++Arrivals;
  http_headers Headers = headersFor(Request);
  if (Request.path() == "/once/silent") {
    awaitTime(Yield, seconds(60));
    return;
  }
  if (Request.path() == "/once/large" || Request.path() == "/once/huge") {
    std::size_t Bytes =
        Request.path() == "/once/huge" ? HugeAnswerBytes : LargeAnswerBytes;
    Responder.send(http_response(Ok, Headers, std::string(Bytes, 'x')));
    return;
  }
  if (Request.path() != "/stream/large") {
    Responder.send(http_response(Ok, Headers, "fine"));
    return;
  }
  Responder.begin(Ok, Headers.with("Content-Type", "text/event-stream"));
  const std::string Data(LargeEventBytes, 'x');
  for (int Event = 1; Responder.write("id: " + std::to_string(Event) +
                                      "\ndata: " + Data + "\n\n");)
    ++Event;
}
