// A request crashes each runner that begins to run it. It comes again, from the
// same caller with the same path and body. Both gateways have counted three
// crashes and refuse it; then they are stopped and started in turn.

#include "Scene.h"
#include <iostream>

using namespace review;

static constexpr milliseconds Contact{3000};
static constexpr milliseconds RestartTime{3000};
static constexpr int AllowedRetries = 3;

namespace {

class crash_memory {
public:
  explicit crash_memory(const std::string &Folder) : Scene(Folder) {}

  int run();

private:
  void handle(runner &Runner, connection &Connection, const message &Request);
  void sendCrashing(gateway &Gateway);
  void sendSound();
  bool restart(gateway &Gateway);

  scene Scene;
  std::vector<std::unique_ptr<runner>> Runners;
  std::mutex Mutex;
  int Crashes = 0;
  int LateArrivals = 0;
  int LostOrders = 0;
  int Orders = 0;
  long BlockedAt = -1;
  std::atomic<bool> Ending{false};
  std::atomic<int> Number{0};
};

} // namespace

void crash_memory::handle(runner &Runner, connection &Connection,
                          const message &Request) {
  std::string Id = Request.header("Bluebellkeel-Request-Id");
  Scene.Record.write("runs " + Runner.id() + " " + Id);
  if (Request.Body == "crash") {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      ++Crashes;
      if (Crashes == 3)
        BlockedAt = Scene.Record.now() + Contact.count();
      else if (BlockedAt >= 0 && Scene.Record.now() > BlockedAt)
        ++LateArrivals;
    }
    Runner.crash(RestartTime);
    return;
  }
  pause(milliseconds(400));
  Connection.write(response(200, Runner.headersFor(Request), "done"));
}

void crash_memory::sendCrashing(gateway &Gateway) {
  std::string Id = "crash-" + std::to_string(++Number);
  auto Response =
      exchange(Gateway.port(), scene::request("/order/x", Id, 1500, "crash"),
               milliseconds(3000));
  Scene.Record.write("answer " + Id + " " +
                     (Response ? std::to_string(Response->status()) : "none"));
}

/// Sends orders until the end; counts those that were lost after the crashing
/// request should have been refused.
void crash_memory::sendSound() {
  while (!Ending) {
    std::string Id = "sound-" + std::to_string(++Number);
    gateway &Gateway = Number % 2 == 0 ? Scene.First : Scene.Second;
    std::thread([this, Id, &Gateway] {
      auto Response = exchange(
          Gateway.port(), scene::request("/order/y", Id, 1500, "order " + Id),
          milliseconds(3000));
      std::lock_guard<std::mutex> Lock(Mutex);
      ++Orders;
      if (Response && Response->status() == 502) {
        Scene.Record.write("answer " + Id + " 502");
        if (BlockedAt >= 0 && Scene.Record.now() > BlockedAt)
          ++LostOrders;
      }
    }).detach();
    pause(milliseconds(30));
  }
  pause(milliseconds(3500));
}

bool crash_memory::restart(gateway &Gateway) {
  Scene.Record.write("SIGTERM");
  Gateway.stop();
  Gateway.start();
  bool Ready = Gateway.awaitReady(milliseconds(10000));
  Scene.Record.write("started again");
  return Ready;
}

int crash_memory::run() {
  Scene.putConfiguration(
      scene::route("order", "non_idempotent", "desk", 1, 1500, 800),
      R"({"name":"desk","health_path":"/healthz"})");
  for (std::size_t I = 0; I < 6; ++I) {
    Runners.push_back(std::make_unique<runner>(
        Scene.Store, Scene.Record, "desk", std::to_string(I), Scene.port(I),
        [this](runner &Runner, connection &Connection, const message &Request) {
          handle(Runner, Connection, Request);
        }));
    Runners.back()->start();
  }
  if (!Scene.startGateways())
    return CannotRun;
  pause(Contact);
  std::thread Sound([this] { sendSound(); });
  for (int I = 0; I < 6; ++I) {
    sendCrashing(I % 2 == 0 ? Scene.First : Scene.Second);
    pause(milliseconds(1500));
  }
  bool Ready = true;
  auto RollEnd = std::chrono::steady_clock::now() + milliseconds(28000);
  if (withTrouble())
    Ready = restart(Scene.First) && restart(Scene.Second);
  std::this_thread::sleep_until(RollEnd);
  for (int I = 0; I < 14; ++I) {
    std::vector<std::thread> Callers;
    for (gateway *Gateway :
         {&Scene.First, &Scene.Second, &Scene.First, &Scene.Second})
      Callers.emplace_back([this, Gateway] { sendCrashing(*Gateway); });
    for (auto &Caller : Callers)
      Caller.join();
    pause(milliseconds(2000));
  }
  Ending = true;
  Sound.join();
  Runners.clear();
  std::string Result =
      std::to_string(Crashes) + " crashes; " + std::to_string(LateArrivals) +
      " arrivals later than " + std::to_string(Contact.count()) +
      " ms after the third, allowed are " + std::to_string(AllowedRetries) +
      "; " + std::to_string(LostOrders) + " of " + std::to_string(Orders) +
      " sound orders lost by them";
  Scene.Record.write(Result);
  std::cout << Result << "\n";
  if (!Ready || Crashes < 3)
    return CannotRun;
  return LateArrivals > AllowedRetries ? Broken : Held;
}

int main(int /*Count*/, char **Arguments) {
  return crash_memory(Arguments[1]).run();
}
