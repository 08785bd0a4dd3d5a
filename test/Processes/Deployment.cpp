#include "Deployment.h"
#include "bluebellkeel/Codec/JsonText.h"
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <thread>
#include <unistd.h>

using namespace bluebellkeel;

using nlohmann::json;

static constexpr milliseconds StartTimeout{20000};
static constexpr milliseconds PollInterval{20};

/// Returns a loopback address derived from the process id, so that tests in
/// several processes do not share ports.
static std::string processHost() {
  constexpr int FirstNet = 1;
  constexpr int Byte = 256;
  int Id = getpid();
  return "127." + std::to_string(FirstNet + Id / Byte / Byte % (Byte - 2)) +
         "." + std::to_string(Id / Byte % Byte) + "." +
         std::to_string(1 + Id % (Byte - 2));
}

network_address deployment::address(int Offset) {
  return network_address(processHost(),
                         static_cast<std::uint16_t>(FirstPort + Offset));
}

void deployment::sleepFor(milliseconds Time) {
  std::this_thread::sleep_for(Time);
}

bool deployment::waitFor(const std::function<bool()> &Condition,
                         milliseconds Timeout) {
  auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    sleepFor(PollInterval);
  }
  return true;
}

void deployment::SetUp() {
  char Name[] = "/tmp/bluebellkeel-test-XXXXXX";
  Folder = mkdtemp(Name);
  startStandins();
  for (int Index = 0; Index < InstanceCount; ++Index)
    startInstance(Index);
  ASSERT_TRUE(
      waitFor([this] { return statusOf(instance(0), "/healthz") == 200; },
              StartTimeout));
  putSettings();
  for (int Index = 0; Index < InstanceCount; ++Index)
    ASSERT_TRUE(waitFor([&] { return ready(Index); }, StartTimeout));
}

void deployment::TearDown() {
  Instances.clear();
  Engines.clear();
  Services.clear();
  if (HasFailure())
    printLogs();
  std::filesystem::remove_all(Folder);
}

std::string deployment::logFile(int Index) const {
  return Folder + "/i" + std::to_string(Index) + ".log";
}

void deployment::printLogs() const {
  for (int Index = 0; Index < InstanceCount; ++Index)
    std::cout << "== log of instance " << Index << "\n"
              << std::ifstream(logFile(Index)).rdbuf() << "\n";
}

void deployment::startStandins() {
  auto Listen = [](const network_address &Address) {
    return "--listen=" + Address.text();
  };
  std::string Standin = STANDIN_PATH;
  Log = std::make_unique<child_process>(
      std::vector<std::string>{Standin, "log", Listen(log())});
  List = std::make_unique<child_process>(
      std::vector<std::string>{Standin, "list", Listen(list())});
  ASSERT_TRUE(waitFor([&] { return statusOf(list(), "/instances") == 200; },
                      StartTimeout));
  for (int Index = 0; Index < EngineCount; ++Index) {
    Engines[Index] = std::make_unique<child_process>(std::vector<std::string>{
        Standin, "engine", Listen(engine(Index)),
        std::string("--version=") + (Index % 2 == 0 ? "lace@1" : "lace@2"),
        "--cold=2", "--warm=8", "--tokens=16000"});
    listEngine(Index, "live");
  }
  for (int Index = 0; Index < ServiceCount; ++Index) {
    Services[Index] = std::make_unique<child_process>(
        std::vector<std::string>{Standin, "service", Listen(service(Index))});
    json Share = {{"requests", 16}, {"tokens", 0}};
    post(list(), "/instances",
         {{"kind", "service"},
          {"id", "desk-" + std::to_string(Index)},
          {"data_centre", "b"},
          {"address", service(Index).text()},
          {"pool", "desk"},
          {"state", "live"},
          {"warm", Share},
          {"cold", Share}});
  }
}

static std::string centreOf(int Index) {
  return std::string(1, static_cast<char>('a' + Index % 3));
}

void deployment::listEngine(int Index, const std::string &State) {
  post(list(), "/instances",
       {{"kind", "engine"},
        {"id", "lace-" + std::to_string(Index)},
        {"data_centre", centreOf(Index)},
        {"address", engine(Index).text()},
        {"pool", Index % 2 == 0 ? "lace@1" : "lace@2"},
        {"state", State},
        {"warm", {{"requests", 8}, {"tokens", 16000}}},
        {"cold", {{"requests", 2}, {"tokens", 16000}}}});
}

std::string deployment::writeSettings(int Index,
                                      const network_address &LogAddress) {
  json Settings = {
      {"instance", "i" + std::to_string(Index)},
      {"data_centre", centreOf(Index)},
      {"listen",
       {{"callers", instance(Index).text()},
        {"peers", address(20 + Index).text()}}},
      {"platform", {{"log", LogAddress.text()}, {"list", list().text()}}},
      {"keys",
       {{"signing", "signing-key-0123456789"},
        {"peer", "peer-key-0123456789"}}},
      {"teams",
       {{{"name", "catalog"}, {"key", CatalogKey}},
        {{"name", "platform"}, {"key", PlatformKey}}}},
      {"limits",
       {{"threads", 2},
        {"first_byte_ms", 3000},
        {"between_tokens_ms", 1000},
        {"caller_write_ms", 1000},
        {"drain_s", 10}}},
      {"log_level", "info"}};
  std::string Path = Folder + "/i" + std::to_string(Index) + ".json";
  std::ofstream(Path) << Settings.dump();
  return Path;
}

void deployment::startInstance(int Index) { startInstance(Index, log()); }

void deployment::startInstance(int Index, const network_address &LogAddress) {
  std::string Path = writeSettings(Index, LogAddress);
  Instances[Index] = std::make_unique<child_process>(
      std::vector<std::string>{DAEMON_PATH, "--settings=" + Path},
      std::vector<std::string>(), logFile(Index));
  post(list(), "/instances",
       {{"kind", "instance"},
        {"id", "i" + std::to_string(Index)},
        {"data_centre", centreOf(Index)},
        {"address", instance(Index).text()},
        {"peer_address", address(20 + Index).text()},
        {"state", "live"}});
}

void deployment::putSettings() {
  json Catalog = {{"/catalog/versions/lace@1/stage", "active"},
                  {"/catalog/versions/lace@1/cost", 400},
                  {"/catalog/versions/lace@1/quality", 0.8},
                  {"/catalog/versions/lace@2/stage", "active"},
                  {"/catalog/versions/lace@2/cost", 1500},
                  {"/catalog/versions/lace@2/quality", 0.95},
                  {"/catalog/accounts/cobbler/api-key", ApiKey},
                  {"/catalog/accounts/cobbler/versions", {"lace@1", "lace@2"}},
                  {"/catalog/accounts/cobbler/services", {"desk"}},
                  {"/catalog/accounts/cobbler/quality-target", 0.7},
                  {"/catalog/services/desk/operations/place/idempotent", false},
                  {"/catalog/services/desk/operations/place/cost", 2000},
                  {"/catalog/services/desk/operations/stock/idempotent", true}};
  json Outcome = change(CatalogKey, 0, Catalog);
  ASSERT_EQ("accepted", Outcome.value("verdict", "")) << Outcome.dump();
}

static http_headers headersFor(const std::string &Key) {
  auto Headers = http_headers().with("Content-Type", "application/json");
  return Key.empty() ? Headers : Headers.with("Authorization", "Bearer " + Key);
}

json deployment::get(const network_address &Address, const std::string &Path,
                     const std::string &Key) {
  auto Response =
      Client.send(Address, http_request("GET", Path, headersFor(Key), ""));
  if (!Response)
    return json::object();
  return parseJson(Response->body()).value_or(json::object());
}

json deployment::post(const network_address &Address, const std::string &Path,
                      const json &Body, const std::string &Key) {
  auto Response = Client.send(
      Address, http_request("POST", Path, headersFor(Key), Body.dump()));
  if (!Response)
    return json::object();
  return parseJson(Response->body()).value_or(json::object());
}

int deployment::statusOf(const network_address &Address,
                         const std::string &Path) {
  auto Response = Client.send(Address, http_request("GET", Path, {}, ""));
  return Response ? Response->status() : 0;
}

void deployment::set(const network_address &Standin, const json &Switches) {
  post(Standin, "/switch", Switches);
}

json deployment::change(const std::string &Key, int Instance,
                        const json &Values, const std::string &Id) {
  static int LastChange = 0;
  json Current = get(instance(Instance), "/admin/settings?path=/none", Key);
  json Edits = json::array();
  for (const auto &[Path, Value] : Values.items())
    Edits.push_back({{"path", Path}, {"value", Value}});
  std::string Team = Current.value("team", "");
  json Revisions = Current.value("revisions", json::object());
  json Body = {
      {"id", Id.empty() ? "change-" + std::to_string(++LastChange) : Id},
      {"base", Revisions.value(Team, std::uint64_t(0))},
      {"edits", Edits}};
  return post(instance(Instance), "/admin/settings", Body, Key);
}

caller deployment::callerOfAll() {
  std::vector<network_address> KnownAddresses;
  KnownAddresses.reserve(InstanceCount);
  for (int Index = 0; Index < InstanceCount; ++Index)
    KnownAddresses.push_back(instance(Index));
  return caller(KnownAddresses, ApiKey);
}

std::string deployment::requestTicket(int Instance) {
  return post(instance(Instance), "/v1/tickets", json::object(), ApiKey)
      .value("ticket", "");
}

/// Converts a response to a result; Cut if there is no response.
static request_result
resultOf(const tl::expected<http_response, http_error> &Response) {
  request_result Result;
  if (!Response)
    return Result;
  json Body = parseJson(Response->body()).value_or(json::object());
  Result.Text = Response->body();
  Result.End = request_outcome::Whole;
  if (Response->status() == 200)
    return Result;
  json Error = Body.value("error", json::object());
  Result.Reason = Error.value("code", "");
  Result.End = Error.value("not_run", json()) == json(true)
                   ? request_outcome::NotRun
                   : request_outcome::Refused;
  return Result;
}

request_result deployment::sendChat(int Instance, const std::string &Id) {
  json Body = {{"model", "auto"},
               {"max_tokens", 8},
               {"messages", {{{"role", "user"}, {"content", Id}}}}};
  auto Headers = headersFor(ApiKey).with("Idempotency-Key", Id);
  return resultOf(Client.send(
      instance(Instance),
      http_request("POST", "/v1/chat/completions", Headers, Body.dump())));
}

request_result deployment::sendOrder(int Instance, const std::string &Ticket,
                                     const std::string &Id, int Attempt) {
  auto Headers = headersFor(ApiKey)
                     .with("Bluebellkeel-Ticket", Ticket)
                     .with("Bluebellkeel-Attempt", std::to_string(Attempt));
  return resultOf(Client.send(instance(Instance),
                              http_request("POST", "/v1/services/desk/place",
                                           Headers, json{{"id", Id}}.dump())));
}

std::uint64_t deployment::runsOf(const std::string &Id) {
  std::uint64_t Sum = 0;
  for (int Index = 0; Index < ServiceCount; ++Index)
    Sum += get(service(Index), "/runs").value(Id, std::uint64_t(0));
  return Sum;
}

std::map<std::string, int> deployment::billCounts() {
  std::map<std::string, int> Result;
  std::set<std::string> Seen;
  json Page = get(log(), "/streams/bills?from=1&max=10000");
  for (const auto &Record : Page.value("records", json::array())) {
    const json &Bill = Record["data"];
    if (Seen.insert(Bill.dump()).second)
      ++Result[Bill.value("request", "")];
  }
  return Result;
}

std::uint64_t deployment::sumEngineStatistic(const std::string &Statistic) {
  std::uint64_t Sum = 0;
  for (int Index = 0; Index < EngineCount; ++Index)
    Sum += get(engine(Index), "/stats").value(Statistic, std::uint64_t(0));
  return Sum;
}
