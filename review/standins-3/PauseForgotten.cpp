// A runner turns one request of each gateway away with 503 and Retry-After, as
// it is full for so long, and completes the requests that run already.

#include "Scene.h"
#include <iostream>

using namespace review;

static constexpr milliseconds Contact{3000};
static constexpr milliseconds TurnAwayAt{6000};
static constexpr int RetryAfterSeconds = 30;
static constexpr long LeewayMs = 500;
static constexpr int AllowedArrivals = 2;

namespace {

class pause_forgotten {
public:
  explicit pause_forgotten(const std::string &Folder) : Scene(Folder) {}

  int run();

private:
  void handle(bool IsFull, runner &Runner, connection &Connection,
              const message &Request);
  bool turnsAway(const std::string &Sender);
  void addRunning(bool IsFull, const std::string &Sender, int Count);
  void sendOrders(gateway &Gateway, const std::string &Sender);

  scene Scene;
  std::vector<std::unique_ptr<runner>> Runners;
  std::mutex Mutex;
  /// For each gateway, the time at which it was turned away, and the arrivals
  /// in the pause.
  std::map<std::string, long> TurnedAwayAt;
  std::map<std::string, int> Arrivals;
  /// For each gateway, the requests that run at the runner that is full.
  std::map<std::string, int> Running;
  long FullFrom = -1;
  std::atomic<bool> Ending{false};
  std::atomic<int> Answered{0};
  std::atomic<int> Number{0};
};

} // namespace

/// Counts an arrival from \p Sender; true if it is the one that is turned away.
/// Others of that gateway run at the time.
bool pause_forgotten::turnsAway(const std::string &Sender) {
  std::lock_guard<std::mutex> Lock(Mutex);
  long Now = Scene.Record.now();
  if (FullFrom < 0 || Now < FullFrom ||
      (TurnedAwayAt.count(Sender) == 0 && Running[Sender] == 0))
    return false;
  auto [Found, New] = TurnedAwayAt.emplace(Sender, Now);
  long Since = Now - Found->second;
  if (!New && Since > LeewayMs && Since < 1000L * RetryAfterSeconds)
    ++Arrivals[Sender];
  return New;
}

void pause_forgotten::addRunning(bool IsFull, const std::string &Sender,
                                 int Count) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (IsFull)
    Running[Sender] += Count;
}

void pause_forgotten::handle(bool IsFull, runner &Runner,
                             connection &Connection, const message &Request) {
  std::string Id = Request.header("Bluebellkeel-Request-Id");
  if (IsFull && turnsAway(Id.substr(0, 1))) {
    Scene.Record.write("turned away " + Id);
    Connection.write(
        response(503,
                 Runner.headersFor(Request) +
                     "Bluebellkeel-Not-Executed: 1\r\nRetry-After: " +
                     std::to_string(RetryAfterSeconds) + "\r\n",
                 ""));
    return;
  }
  Scene.Record.write("runs " + Runner.id() + " " + Id);
  addRunning(IsFull, Id.substr(0, 1), 1);
  pause(milliseconds(500));
  addRunning(IsFull, Id.substr(0, 1), -1);
  Connection.write(response(200, Runner.headersFor(Request), "done"));
}

void pause_forgotten::sendOrders(gateway &Gateway, const std::string &Sender) {
  while (!Ending) {
    std::string Id = Sender + "-" + std::to_string(++Number);
    std::thread([this, Id, &Gateway] {
      auto Response = exchange(
          Gateway.port(), scene::request("/order/x", Id, 1500, "order " + Id),
          milliseconds(3000));
      Answered += Response && Response->status() == 200 ? 1 : 0;
    }).detach();
    pause(milliseconds(100));
  }
  pause(milliseconds(3500));
}

int pause_forgotten::run() {
  Scene.putConfiguration(
      scene::route("order", "non_idempotent", "desk", 1, 1500, 800),
      R"({"name":"desk","health_path":"/healthz"})");
  for (std::size_t I = 0; I < 3; ++I) {
    Runners.push_back(std::make_unique<runner>(
        Scene.Store, Scene.Record, "desk", std::to_string(I), Scene.port(I),
        [this, I](runner &Runner, connection &Connection,
                  const message &Request) {
          handle(I == 0, Runner, Connection, Request);
        }));
    Runners.back()->start();
  }
  if (!Scene.startGateways())
    return CannotRun;
  pause(Contact);
  if (withTrouble())
    FullFrom = Scene.Record.now() + TurnAwayAt.count();
  std::thread First([this] { sendOrders(Scene.First, "a"); });
  std::thread Second([this] { sendOrders(Scene.Second, "b"); });
  pause(TurnAwayAt + milliseconds(1000L * RetryAfterSeconds));
  Ending = true;
  First.join();
  Second.join();
  Runners.clear();
  int Most = std::max(Arrivals["a"], Arrivals["b"]);
  std::string Result =
      std::to_string(TurnedAwayAt.size()) + " gateways turned away for " +
      std::to_string(RetryAfterSeconds) + " s; arrivals in that time from one" +
      " gateway: " + std::to_string(Most) + ", allowed are " +
      std::to_string(AllowedArrivals) + "; " + std::to_string(Answered) +
      " orders answered";
  Scene.Record.write(Result);
  std::cout << Result << "\n";
  if (Answered == 0 || (withTrouble() && TurnedAwayAt.size() < 2))
    return CannotRun;
  return Most > AllowedArrivals ? Broken : Held;
}

int main(int /*Count*/, char **Arguments) {
  return pause_forgotten(Arguments[1]).run();
}
