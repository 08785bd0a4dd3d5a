#include "Deployment.h"
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <thread>

using namespace review;

/// heartbeat_ms of the settings.
static constexpr milliseconds RenewInterval{1200};
static constexpr milliseconds ReadyLimit{10000};

static std::string makeWorkFolder() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  const char *Made = ::mkdtemp(Pattern.data());
  return Made ? Made : ".";
}

deployment::deployment(const std::string &Folder)
    : Work(makeWorkFolder()), Record(Folder + "/record.txt") {
  std::thread([this] { renewRegistrations(); }).detach();
}

deployment::~deployment() = default;

void deployment::configure(const std::vector<route> &Routes) {
  std::string RouteList;
  std::map<std::string, std::string> Services;
  for (const auto &Route : Routes) {
    RouteList += RouteList.empty() ? "" : ",";
    RouteList += R"({"name":")" + Route.Name +
                 R"(","host":"desk.example","path_prefix":"/)" + Route.Name +
                 R"(/","kind":")" + Route.Kind + R"(","timeout_ms":)" +
                 std::to_string(Route.TimeoutMs) + R"(,"slo_ms":)" +
                 std::to_string(Route.ObjectiveMs) +
                 R"(,"gap_slo_ms":1000,"priority":1,"attempts":)" +
                 std::to_string(Route.Attempts) +
                 R"(,"public":false,"resumable":)" +
                 (Route.Resumable ? "true" : "false") + R"(,"service":")" +
                 Route.Service + R"("})";
    Services[Route.Service] =
        R"({"name":")" + Route.Service +
        R"(","health_path":"/healthz","max_conns":370,"cold_start_s":0.0,"cold_per_s":0.0})";
  }
  std::string ServiceList;
  for (const auto &[Name, Service] : Services)
    ServiceList += (ServiceList.empty() ? "" : ",") + Service;
  Store.put(
      "keyed.op", "config",
      R"({"version":7,"routes":[)" + RouteList + R"(],"services":[)" +
          ServiceList +
          R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"mill","api_keys":["mill-key"],"priority":1}]})");
}

void deployment::registerRunner(const runner &Runner,
                                const std::string &Service) {
  registerRunner(Runner.id(), Runner.address(), Service);
}

void deployment::registerRunner(const std::string &Id,
                                const std::string &Address,
                                const std::string &Service) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Registrations[Id] =
      R"({"service":")" + Service + R"(","address":")" + Address +
      R"(","zone":"north","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":)";
  Store.put("keyed.servers", Id, Registrations[Id] + "1}");
}

void deployment::dropRunner(const std::string &Id) {
  static constexpr int SilentRenewals = 3;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Registrations.erase(Id);
  }
  std::thread([this, Id] {
    std::this_thread::sleep_for(SilentRenewals * RenewInterval);
    Store.put("keyed.servers", Id, "");
  }).detach();
}

void deployment::renewRegistrations() {
  for (unsigned Sequence = 2;; ++Sequence) {
    std::this_thread::sleep_for(RenewInterval);
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Id, Registration] : Registrations)
      Store.put("keyed.servers", Id,
                Registration + std::to_string(Sequence) + "}");
  }
}

gateway &deployment::startGateway(const std::string &Name, unsigned MemoryMb) {
  Gateways.push_back(
      std::make_unique<gateway>(Work, Name, Store.address(), MemoryMb));
  gateway &Gateway = *Gateways.back();
  Gateway.start();
  if (!Gateway.awaitReady(ReadyLimit))
    finish(CannotRun, "gateway " + Name + " did not become ready");
  Record.write("gateway " + Name + " is ready");
  return Gateway;
}

void deployment::finish(exit_code Code, const std::string &Why) {
  Record.write("result " + std::to_string(Code) + ": " + Why);
  std::printf("%d: %s\n", Code, Why.c_str());
  std::fflush(stdout);
  Gateways.clear();
  if (std::getenv("KEEP_WORK") == nullptr)
    std::filesystem::remove_all(Work);
  else
    std::printf("%s\n", Work.c_str());
  std::fflush(stdout);
  std::_Exit(Code);
}

message review::makeRequest(const std::string &Route, const std::string &Id,
                            unsigned DeadlineMs, std::string Body) {
  return {"POST /" + Route + "/x HTTP/1.1",
          {{"Host", "desk.example"},
           {"Bluebellkeel-Request-Id", Id},
           {"Bluebellkeel-Deadline-Ms", std::to_string(DeadlineMs)},
           {"Api-Key", "mill-key"}},
          std::move(Body)};
}

bool review::withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}
