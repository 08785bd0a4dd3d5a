// A lookup names its item in the query. One item crashes each runner that
// begins to run a request for it; the request comes again, unchanged. Lookups
// of other items have the same path and no body either, and are sound. Without
// the disruption no item crashes a runner.

#include "Scene.h"
#include <iostream>

using namespace review;

static constexpr milliseconds Contact{3000};
static constexpr milliseconds RestartTime{3000};
static constexpr int AllowedRetries = 3;
static constexpr const char *CrashingItem = "13";

namespace {

class crash_query {
public:
  explicit crash_query(const std::string &Folder) : Scene(Folder) {}

  int run();

private:
  void handle(runner &Runner, connection &Connection, const message &Request);
  void sendCrashing(gateway &Gateway);
  void sendSound();

  scene Scene;
  std::vector<std::unique_ptr<runner>> Runners;
  std::mutex Mutex;
  int Arrivals = 0;
  int LateArrivals = 0;
  int LostOrders = 0;
  int Orders = 0;
  long BlockedAt = -1;
  std::atomic<bool> Ending{false};
  std::atomic<int> Number{0};
};

} // namespace

void crash_query::handle(runner &Runner, connection &Connection,
                         const message &Request) {
  std::string Id = Request.header("Bluebellkeel-Request-Id");
  bool Crashing = withTrouble() && Request.query("item") == CrashingItem;
  Scene.Record.write("runs " + Runner.id() + " " + Id + " " + Request.target());
  if (Crashing) {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Arrivals;
    if (Arrivals == 3)
      BlockedAt = Scene.Record.now() + Contact.count();
    else if (BlockedAt >= 0 && Scene.Record.now() > BlockedAt)
      ++LateArrivals;
  }
  if (Crashing) {
    Runner.crash(RestartTime);
    return;
  }
  pause(milliseconds(Request.method() == "GET" ? 15 : 200));
  Connection.write(response(200, Runner.headersFor(Request), "done"));
}

/// Returns a lookup with the headers of a client.
static std::string lookup(const std::string &Item, const std::string &Id) {
  return "GET /stock/check?item=" + Item +
         " HTTP/1.1\r\nHost: desk.example\r\nBluebellkeel-Request-Id: " + Id +
         "\r\nBluebellkeel-Deadline-Ms: 1500\r\nApi-Key: mill-key\r\n\r\n";
}

void crash_query::sendCrashing(gateway &Gateway) {
  std::string Id = "item13-" + std::to_string(++Number);
  auto Response =
      exchange(Gateway.port(), lookup(CrashingItem, Id), milliseconds(3000));
  Scene.Record.write("answer " + Id + " " +
                     (Response ? std::to_string(Response->status()) : "none"));
}

/// Sends sound lookups and orders until the end; counts the orders that were
/// lost after the crashing request should have been refused.
void crash_query::sendSound() {
  while (!Ending) {
    int Own = ++Number;
    gateway &Gateway = Own % 2 == 0 ? Scene.First : Scene.Second;
    std::thread([this, Own, &Gateway] {
      std::string Id = "sound-" + std::to_string(Own);
      exchange(Gateway.port(),
               lookup(std::to_string(100 + Own % 50), "look-" + Id),
               milliseconds(3000));
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
    pause(milliseconds(100));
  }
  pause(milliseconds(6500));
}

int crash_query::run() {
  Scene.putConfiguration(
      scene::route("order", "non_idempotent", "desk", 1, 1500, 800) + "," +
          scene::route("stock", "idempotent", "desk", 3, 1500, 150),
      R"({"name":"desk","health_path":"/healthz"})");
  for (std::size_t I = 0; I < 4; ++I) {
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
  for (int I = 0; I < 16; ++I) {
    sendCrashing(I % 2 == 0 ? Scene.First : Scene.Second);
    pause(milliseconds(4000));
  }
  Ending = true;
  Sound.join();
  Runners.clear();
  std::string Result =
      std::to_string(Arrivals) + " arrivals of the crashing request; " +
      std::to_string(LateArrivals) + " later than " +
      std::to_string(Contact.count()) + " ms after the third, allowed are " +
      std::to_string(AllowedRetries) + "; " + std::to_string(LostOrders) +
      " of " + std::to_string(Orders) + " sound orders lost by them";
  Scene.Record.write(Result);
  std::cout << Result << "\n";
  if (Orders == 0 || (withTrouble() && Arrivals < 3))
    return CannotRun;
  return LateArrivals > AllowedRetries ? Broken : Held;
}

int main(int /*Count*/, char **Arguments) {
  return crash_query(Arguments[1]).run();
}
