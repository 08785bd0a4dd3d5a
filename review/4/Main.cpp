#include "../standins/Deployment.h"
#include "../standins/Streams.h"
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

using namespace review;

static constexpr unsigned MemoryMb = 110;
/// grace_s and loss_slack_ms of the settings.
static constexpr milliseconds Grace{8000};

/// A stream that began before the stop and still runs at its end.
static constexpr int Events = 150;
static constexpr milliseconds EventInterval{100};

static constexpr unsigned Orders = 4;
static constexpr unsigned OrderTimeoutMs = 4000;
static constexpr unsigned OrderDeadlineMs = 3500;
static constexpr milliseconds OrderTime{1900};
/// Some clients keep an answer of the directory for three times its ttl_s.
static constexpr int KeptTimes = 3;
/// The orders are sent this long before the kept answer expires.
static constexpr milliseconds Margin{100};

/// Asks the gateway's directory; returns the ttl_s that it names.
static std::optional<int> resolve(const gateway &Gateway, record &Record) {
  connection Connection(connection::dial(Gateway.directoryPort()));
  message Response;
  Connection.send("GET /bluebellkeel/resolve?name=desk.example&region=r&"
                  "zone=north HTTP/1.1\r\nHost: x\r\n\r\n");
  if (Connection.read(Response) != read_result::Complete ||
      Response.status() != 200)
    return std::nullopt;
  Record.write("client gets from the directory: " + Response.Body);
  auto At = Response.Body.find("\"ttl_s\":");
  if (At == std::string::npos)
    return std::nullopt;
  return std::atoi(Response.Body.c_str() + At + 8);
}

int main(int, char **Arguments) {
  deployment Deployment(Arguments[1]);
  record &Record = Deployment.log();
  std::atomic<unsigned> Lost{0};
  std::atomic<unsigned> Answered{0};
  runner Engine("i-engine", Record,
                [&](connection &Connection, message &Request) {
                  Connection.readBody(Request);
                  answerStream(Connection, Request, Events, EventInterval);
                });
  runner Desk("i-desk", Record, [&](connection &Connection, message &Request) {
    Connection.readBody(Request);
    std::this_thread::sleep_for(OrderTime);
    bool Sent = Connection.send(
        format(makeResponse(200, runner::answerFields(Request), "booked")));
    Record.write("runner i-desk has answered " +
                 Request.get("Bluebellkeel-Request-Id") +
                 (Sent ? "" : ", the caller is gone"));
  });
  Deployment.configure(
      {{"draft", "streaming", "engine", 20000, 2000},
       {"book", "non_idempotent", "desk", OrderTimeoutMs, 2000}});
  Deployment.registerRunner(Engine, "engine");
  Deployment.registerRunner(Desk, "desk");
  gateway &Gateway = Deployment.startGateway("edge-1", MemoryMb);

  std::thread Stream([&] {
    connection Connection(connection::dial(Gateway.callerPort()));
    message Response;
    Record.write("client sends draft-1");
    Connection.send(format(makeRequest("draft", "draft-1", 20000)));
    bool Complete = Connection.read(Response) == read_result::Complete;
    Record.write(std::string("client's stream draft-1 ended ") +
                 (Complete ? "completely" : "early"));
  });
  std::this_thread::sleep_for(milliseconds(1000));
  auto Ttl = resolve(Gateway, Record);
  if (!Ttl)
    Deployment.finish(CannotRun, "no answer of the directory");
  time_point ResolvedAt = clock_type::now();
  time_point StoppedAt = ResolvedAt + milliseconds(50);
  std::this_thread::sleep_until(StoppedAt);
  if (withTrouble()) {
    Record.write("platform sends SIGTERM to the gateway");
    Gateway.signal(SIGTERM);
  }
  std::vector<std::thread> Clients;
  for (unsigned Client = 0; Client < Orders; ++Client) {
    Clients.emplace_back([&, Client] {
      std::this_thread::sleep_until(
          ResolvedAt + KeptTimes * std::chrono::seconds(*Ttl) - Margin);
      std::string Id = "order-" + std::to_string(Client);
      connection Connection(connection::dial(Gateway.callerPort()));
      message Response;
      Record.write("client sends " + Id);
      Connection.send(format(makeRequest("book", Id, OrderDeadlineMs)));
      if (Connection.read(Response) == read_result::Complete) {
        Record.write("client gets " + std::to_string(Response.status()) +
                     " for " + Id);
        ++Answered;
        return;
      }
      bool Ran = Desk.runsOf(Id) > 0;
      Record.write("client's connection closed without an answer to " + Id +
                   (Ran ? ", which ran" : ""));
      Lost += Ran ? 1 : 0;
    });
  }
  if (withTrouble()) {
    while (clock_type::now() < StoppedAt + Grace && !Gateway.ended())
      std::this_thread::sleep_for(milliseconds(5));
    if (Gateway.ended()) {
      Record.write("gateway has ended by itself");
    } else {
      Record.write("platform sends SIGKILL to the gateway");
      Gateway.signal(SIGKILL);
    }
  }
  for (auto &Client : Clients)
    Client.join();
  Stream.join();
  Deployment.finish(Lost > 0 ? Broken : Held,
                    std::to_string(Answered) + " orders answered, " +
                        std::to_string(Lost) + " lost");
}
