// A client sends an order whose Transfer-Encoding does not end with "chunked".
// Nothing tells where such a request ends, and HTTP asks for a 400. The body
// holds another request. Without the disruption the same bytes are sent with a
// length, and in chunks.

#include "Scene.h"
#include <iostream>
#include <sstream>

using namespace review;

namespace {

class smuggled {
public:
  explicit smuggled(const std::string &Folder) : Scene(Folder) {}

  int run();

private:
  void handle(runner &Runner, connection &Connection, const message &Request);
  void send(gateway &Gateway, const std::string &Framing,
            const std::string &Body);

  scene Scene;
  std::mutex Mutex;
  int Changed = 0;
  int Smuggled = 0;
  int Runs = 0;
  int Answered = 0;
  int Number = 0;
  /// The body of each request that was sent, by its id.
  std::map<std::string, std::string> Sent;
};

} // namespace

void smuggled::handle(runner &Runner, connection &Connection,
                      const message &Request) {
  std::string Id = Request.header("Bluebellkeel-Request-Id");
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Runs;
    auto Found = Sent.find(Id);
    bool IsSmuggled = Found == Sent.end();
    bool IsChanged = !IsSmuggled && Found->second != Request.Body;
    Smuggled += IsSmuggled ? 1 : 0;
    Changed += IsChanged ? 1 : 0;
    Scene.Record.write(
        "runs " + Id + " with a body of " +
        std::to_string(Request.Body.size()) + " bytes" +
        (IsSmuggled ? ": no client sent it" : "") +
        (IsChanged ? ": the client sent " + std::to_string(Found->second.size())
                   : ""));
  }
  Connection.write(response(200, Runner.headersFor(Request), "done"));
}

void smuggled::send(gateway &Gateway, const std::string &Framing,
                    const std::string &Body) {
  std::string Id = "outer-" + std::to_string(++Number);
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Sent[Id] = Body;
  }
  std::string Head = "POST /order/x HTTP/1.1\r\nHost: desk.example\r\n"
                     "Bluebellkeel-Request-Id: " +
                     Id +
                     "\r\nBluebellkeel-Deadline-Ms: 1500\r\n"
                     "Api-Key: mill-key\r\n";
  std::string Chunk = Body;
  if (Framing == "Transfer-Encoding: chunked\r\n") {
    std::ostringstream Size;
    Size << std::hex << Body.size();
    Chunk = Size.str() + "\r\n" + Body + "\r\n0\r\n\r\n";
  }
  Scene.Record.write("sent " + Id + " " +
                     Framing.substr(0, Framing.size() - 2) + ", a body of " +
                     std::to_string(Body.size()) + " bytes");
  auto Connection = connectTo(Gateway.port());
  if (!Connection || !Connection->write(Head + Framing + "\r\n" + Chunk))
    return;
  while (auto Response =
             Connection->read(milliseconds(700), /*IsResponse=*/true)) {
    ++Answered;
    Scene.Record.write("answer " + std::to_string(Response->status()));
  }
}

int smuggled::run() {
  Scene.putConfiguration(
      scene::route("order", "non_idempotent", "desk", 1, 1500, 800),
      R"({"name":"desk","health_path":"/healthz"})");
  std::vector<std::unique_ptr<runner>> Runners;
  for (std::size_t I = 0; I < 2; ++I) {
    Runners.push_back(std::make_unique<runner>(
        Scene.Store, Scene.Record, "desk", std::to_string(I), Scene.port(I),
        [this](runner &Runner, connection &Connection, const message &Request) {
          handle(Runner, Connection, Request);
        }));
    Runners.back()->start();
  }
  if (!Scene.startGateways())
    return CannotRun;
  pause(milliseconds(3000));
  for (gateway *Gateway : {&Scene.First, &Scene.Second}) {
    for (const char *Encoding : {"identity", "gzip", "chunked, identity"}) {
      std::string Inner = scene::request(
          "/order/y", "inner-" + std::to_string(Number), 1500, "50 cartons");
      std::string Length = std::to_string(Inner.size());
      if (withTrouble()) {
        send(*Gateway, std::string("Transfer-Encoding: ") + Encoding + "\r\n",
             Inner);
      } else {
        send(*Gateway, "Content-Length: " + Length + "\r\n", Inner);
        send(*Gateway, "Transfer-Encoding: chunked\r\n", Inner);
      }
    }
  }
  // The gateways still serve.
  int Before = Runs;
  send(Scene.First, "Content-Length: 5\r\n", "hello");
  send(Scene.Second, "Content-Length: 5\r\n", "hello");
  bool Alive = Runs == Before + 2;
  Runners.clear();
  std::string Result = std::to_string(Changed) +
                       " requests ran with another body; " +
                       std::to_string(Smuggled) +
                       " requests ran that were smuggled inside another; " +
                       std::to_string(Answered) + " answers";
  Scene.Record.write(Result);
  std::cout << Result << "\n";
  if (!Alive)
    return CannotRun;
  return Changed + Smuggled > 0 ? Broken : Held;
}

int main(int /*Count*/, char **Arguments) {
  return smuggled(Arguments[1]).run();
}
