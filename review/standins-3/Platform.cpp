#include "Platform.h"
#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

using namespace review;

using steady = std::chrono::steady_clock;

static constexpr milliseconds HeartbeatInterval{1200};
static constexpr milliseconds Grace{8000};

/// The gateways that run, for the signal handler.
static std::array<std::atomic<pid_t>, 8> Processes;

static void noteProcess(pid_t Old, pid_t New) {
  for (auto &Process : Processes) {
    if (Process.compare_exchange_strong(Old, New))
      return;
  }
}

static void onSignal(int /*Signal*/) {
  for (auto &Process : Processes) {
    if (Process > 0)
      ::kill(Process, SIGKILL);
  }
  std::_Exit(CannotRun);
}

void review::endWithGateways() {
  std::signal(SIGTERM, onSignal);
  std::signal(SIGINT, onSignal);
}

void record::write(const std::string &Line) {
  std::lock_guard<std::mutex> Lock(Mutex);
  File << now() << " " << Line << std::endl;
}

long record::now() const {
  return std::chrono::duration_cast<milliseconds>(steady::now() - Start)
      .count();
}

store::store(int Port)
    : Server(Port, [this](connection &Connection, const message &Request) {
        handle(Connection, Request);
      }) {
  Server.start();
}

void store::put(const std::string &Topic, const std::string &Key,
                const std::string &Value) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Topics[Topic].emplace_back(Key, Value);
  Changed.notify_all();
}

static std::string base64(const std::string &Text) {
  static const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstu"
                               "vwxyz0123456789+/";
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); I += 3) {
    std::size_t Left = std::min<std::size_t>(3, Text.size() - I);
    unsigned Bits = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Bits = Bits << 8U |
             (J < Left ? static_cast<unsigned char>(Text[I + J]) : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Out += J <= Left ? Digits[Bits >> (18 - 6 * J) & 63U] : '=';
  }
  return Out;
}

static std::string bigEndian(std::uint64_t Number, std::size_t Bytes) {
  std::string Out;
  for (std::size_t I = Bytes; I > 0; --I)
    Out.push_back(static_cast<char>(Number >> (8 * (I - 1))));
  return Out;
}

std::string store::append(const message &Request) {
  std::lock_guard<std::mutex> Lock(Mutex);
  records &Records = Topics[Request.query("topic")];
  std::size_t Offset = Records.size();
  std::string At = Request.query("at");
  if (!At.empty() && At != std::to_string(Offset))
    return response(412, "", "{\"end\":" + std::to_string(Offset) + "}");
  const std::string &Body = Request.Body;
  for (std::size_t I = 0; I + 5 <= Body.size();) {
    std::size_t Size = 0;
    for (std::size_t J = 0; J < 4; ++J)
      Size = Size << 8U | static_cast<unsigned char>(Body[I + J]);
    auto KeySize = static_cast<unsigned char>(Body[I + 4]);
    Records.emplace_back(Body.substr(I + 5, KeySize),
                         Body.substr(I + 5 + KeySize, Size - 1 - KeySize));
    I += 4 + Size;
  }
  Changed.notify_all();
  return response(200, "",
                  "{\"offset\":" + std::to_string(Offset) +
                      ",\"end\":" + std::to_string(Records.size()) + "}");
}

std::string store::read(const message &Request) {
  std::unique_lock<std::mutex> Lock(Mutex);
  records &Records = Topics[Request.query("topic")];
  std::size_t From = std::strtoul(Request.query("from").c_str(), nullptr, 10);
  auto Wait = std::atoi(Request.query("wait_timeout_ms").c_str());
  if (From > Records.size())
    return response(410, "", "{\"first\":0}");
  Changed.wait_for(Lock, milliseconds(Wait),
                   [&] { return Records.size() > From; });
  std::string Body = bigEndian(Records.size(), 8) + bigEndian(0, 8);
  for (std::size_t I = From; I < Records.size(); ++I) {
    const auto &[Key, Value] = Records[I];
    Body += bigEndian(1 + Key.size() + Value.size(), 4);
    Body += bigEndian(Key.size(), 1);
    Body += Key;
    Body += Value;
  }
  return response(200, "", Body);
}

std::string store::newest(const message &Request) {
  std::lock_guard<std::mutex> Lock(Mutex);
  const records &Records = Topics[Request.query("topic")];
  std::map<std::string, std::size_t> Latest;
  for (std::size_t I = 0; I < Records.size(); ++I)
    Latest[Records[I].first] = I;
  std::string Items;
  for (const auto &[Key, Offset] : Latest) {
    if (Records[Offset].second.empty())
      continue;
    Items += std::string(Items.empty() ? "" : ",") + "{\"key\":\"" + Key +
             "\",\"value\":\"" + base64(Records[Offset].second) +
             "\",\"offset\":" + std::to_string(Offset) + "}";
  }
  return response(200, "Content-Type: application/json\r\n",
                  "{\"items\":[" + Items + "],\"has_more\":false,\"end\":" +
                      std::to_string(Records.size()) + "}");
}

void store::handle(connection &Connection, const message &Request) {
  if (Request.path() == "/bluebellkeel/log-append")
    Connection.write(append(Request));
  else if (Request.path() == "/bluebellkeel/log-read")
    Connection.write(read(Request));
  else if (Request.path() == "/bluebellkeel/log-newest")
    Connection.write(newest(Request));
  else
    Connection.write(response(404, "", ""));
}

runner::runner(store &Store, record &Record, std::string Service,
               std::string Name, int Port, handler Handler)
    : Store(Store), Record(Record), Service(std::move(Service)),
      Name(std::move(Name)), Port(Port), Handler(std::move(Handler)),
      Server(std::make_unique<server>(
          Port, [this](connection &Connection, const message &Request) {
            if (Request.header("Bluebellkeel-Expect-Instance") != id())
              Connection.write(response(421, "", ""));
            else
              this->Handler(*this, Connection, Request);
          })) {}

runner::~runner() {
  Ended = true;
  while (Pending > 0)
    std::this_thread::sleep_for(milliseconds(5));
  if (Heart.joinable())
    Heart.join();
  Server->stop();
}

std::string runner::id() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return "i-" + Name + (KeepsId ? "" : "-" + std::to_string(Lifetime));
}

std::string runner::headersFor(const message &Request) const {
  return "Bluebellkeel-Request-Id: " +
         Request.header("Bluebellkeel-Request-Id") +
         "\r\nBluebellkeel-Server-Stamp: stamp-" + id() + "\r\n";
}

static long unixMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void runner::registerAt(const std::string &Id) {
  std::uint64_t Number = 0;
  long BornAt = 0;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Number = ++Sequence;
    BornAt = Born;
  }
  Store.put("keyed.servers", Id,
            R"({"service":")" + Service + R"(","address":")" + host() + ":" +
                std::to_string(Port) +
                R"(","zone":"north","version":"v1","slots":6,"state":"ready",)"
                R"("cold_left_ms":0,"seq":)" +
                std::to_string(Number) + R"(,"born":)" +
                std::to_string(BornAt) + "}");
}

void runner::beat() {
  auto Next = steady::now();
  while (!Ended) {
    std::this_thread::sleep_for(milliseconds(10));
    if (!Running || steady::now() < Next)
      continue;
    registerAt(id());
    Next = steady::now() + HeartbeatInterval;
  }
}

void runner::start() {
  Born = unixMillis();
  Server->start();
  Running = true;
  Heart = std::thread([this] { beat(); });
}

void runner::crash(milliseconds Time) {
  if (Crashing.exchange(true))
    return;
  Running = false;
  std::string Old = id();
  Record.write("crash " + Old);
  ++Pending;
  std::thread([this, Old, Time] {
    Server->stop();
    auto Start = steady::now();
    std::this_thread::sleep_for(Time);
    if (!Ended) {
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        ++Lifetime;
        Sequence = 0;
        Born = unixMillis();
      }
      Server->start();
      registerAt(id());
      Record.write("back " + id());
      Running = true;
    }
    Crashing = false;
    std::this_thread::sleep_until(Start + 3 * HeartbeatInterval);
    if (!KeepsId)
      Store.put("keyed.servers", Old, "");
    --Pending;
  }).detach();
}

static std::string address(int Port) {
  return "\"" + host() + ":" + std::to_string(Port) + "\"";
}

gateway::gateway(std::string Name, std::string Folder, int StorePort,
                 int SeedPort, std::vector<int> Ports)
    : Name(std::move(Name)), Folder(std::move(Folder)),
      Ports(std::move(Ports)) {
  std::ofstream File(this->Folder + "/" + this->Name + ".json");
  File << R"({"instance":")" << this->Name
       << R"(","data_centre":"north","log":)" << address(StorePort)
       << R"(,"listen":{"callers":)" << address(this->Ports[0])
       << R"(,"ready":)" << address(this->Ports[1]) << R"(,"directory":)"
       << address(this->Ports[2]) << R"(,"peers":)" << address(this->Ports[3])
       << R"(,"metrics":)" << address(this->Ports[4])
       << R"(},"peers":{"seeds":[)" << address(SeedPort)
       << R"(],"key":"gateway-peers-review"},"rules":{"retry_ratio":0.9,)"
          R"("retry_slack":58,"retry_window_s":10,"trial_share":0.15,)"
          R"("grace_s":8,"settings_apply_ms":2000,"upstreams_apply_ms":2000,)"
          R"("upstreams_renew_ms":1200,"advice_life_s":5},"memory_mb":110,)"
          R"("log_level":"info"})"
       << std::endl;
}

gateway::~gateway() { kill(); }

void gateway::start() {
  std::string Program = "target/platform/bluebellkeel-gateway";
  std::string Setting = "BLUEBELLKEEL_CONFIG=" + Folder + "/" + Name + ".json";
  std::string Log = Folder + "/" + Name + ".log";
  char *Arguments[] = {Program.data(), nullptr};
  char *Environment[] = {Setting.data(), nullptr};
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&Process, Program.c_str(), &Actions, nullptr, Arguments,
                  Environment) != 0) {
    std::perror("cannot start the gateway");
    std::_Exit(CannotRun);
  }
  posix_spawn_file_actions_destroy(&Actions);
  noteProcess(0, Process);
}

bool gateway::running() {
  if (Process > 0 && waitpid(Process, nullptr, WNOHANG) == Process) {
    noteProcess(Process, 0);
    Process = 0;
  }
  return Process > 0;
}

void gateway::stop() {
  if (!running())
    return;
  ::kill(Process, SIGTERM);
  auto End = steady::now() + Grace;
  while (running() && steady::now() < End)
    std::this_thread::sleep_for(milliseconds(10));
  kill();
}

void gateway::kill() {
  if (!running())
    return;
  ::kill(Process, SIGKILL);
  waitpid(Process, nullptr, 0);
  noteProcess(Process, 0);
  Process = 0;
}

bool gateway::ready() const {
  auto Response =
      exchange(Ports[1], "GET /bluebellkeel/readyz HTTP/1.1\r\nHost: x\r\n\r\n",
               milliseconds(1000));
  return Response && Response->status() == 200;
}

bool gateway::awaitReady(milliseconds Time) const {
  auto End = steady::now() + Time;
  while (!ready()) {
    if (steady::now() > End)
      return false;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return true;
}

long gateway::peakKilobytes() const {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  std::string Line;
  while (std::getline(Status, Line)) {
    if (Line.compare(0, 6, "VmHWM:") == 0)
      return std::atol(Line.c_str() + 6);
  }
  return 0;
}

std::optional<message> review::exchange(int Port, const std::string &Request,
                                        milliseconds Time) {
  auto Connection = connectTo(Port);
  if (!Connection || !Connection->write(Request))
    return std::nullopt;
  auto Response = Connection->read(Time, /*IsResponse=*/true);
  return Response && Response->Whole ? Response : std::nullopt;
}

bool review::withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}
