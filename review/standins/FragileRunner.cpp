#include "FragileRunner.h"
#include "Streams.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace review;

/// Time to read a prompt, and to be back after a crash.
static constexpr milliseconds PromptTime{150};
static constexpr milliseconds DownTime{3000};

static constexpr int Events = 20;
static constexpr milliseconds EventInterval{50};

static constexpr int Misdirected = 421;

fragile_runner::fragile_runner(std::string Name, deployment &Deployment,
                               std::string Service, std::string DeadlyPart,
                               written Written, observer &Observer)
    : Name(std::move(Name)), Deployment(Deployment),
      Service(std::move(Service)), DeadlyPart(std::move(DeadlyPart)),
      Written(Written), Observer(Observer), Port(freePort()) {}

void fragile_runner::start() {
  constexpr int Backlog = 128;
  std::lock_guard<std::mutex> Lock(Mutex);
  Id = Name + "-" + std::to_string(++Lifetime);
  Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address),
             sizeof Address) != 0 ||
      ::listen(Listener, Backlog) != 0)
    Deployment.finish(CannotRun, "no port for " + Id);
  std::thread([this, Socket = Listener] { acceptLoop(Socket); }).detach();
  Deployment.registerRunner(Id, addressOf(Port), Service);
}

void fragile_runner::acceptLoop(int Listener) {
  while (true) {
    int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      return;
    std::lock_guard<std::mutex> Lock(Mutex);
    Sockets.insert(Socket);
    std::thread([this, Socket, Id = Id, Lifetime = Lifetime] {
      serve(Socket, Id, Lifetime);
    }).detach();
  }
}

void fragile_runner::serve(int Socket, const std::string &ServedId,
                           unsigned ServedLifetime) {
  connection Connection(Socket);
  message Request;
  if (Connection.read(Request) == read_result::Complete) {
    if (Request.get("Bluebellkeel-Expect-Instance") == ServedId)
      answer(Connection, Request, ServedLifetime);
    else
      Connection.send(format(
          makeResponse(Misdirected, {{"Bluebellkeel-Not-Executed", "1"}}, "")));
  }
  std::lock_guard<std::mutex> Lock(Mutex);
  Sockets.erase(Socket);
  Connection.close();
}

void fragile_runner::answer(connection &Connection, const message &Request,
                            unsigned ServedLifetime) {
  std::string RequestId = Request.get("Bluebellkeel-Request-Id");
  bool Deadly = Request.get("Bluebellkeel-Prompt-Prefix").find(DeadlyPart) !=
                std::string::npos;
  Deployment.log().write("runner " + Name + " gets " + RequestId);
  Observer.onArrival(RequestId, Deadly);
  std::this_thread::sleep_for(PromptTime);
  if (Deadly) {
    if (Written != written::Nothing)
      Connection.send(streamHead(Request));
    if (Written == written::FirstEvent)
      Connection.send(streamEvent(1));
    std::this_thread::sleep_for(EventInterval);
    crash(ServedLifetime);
    return;
  }
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Lifetime != ServedLifetime || Listener < 0)
      return;
  }
  Observer.onBegin(RequestId);
  answerStream(Connection, Request, Events, EventInterval);
}

void fragile_runner::crash(unsigned CrashedLifetime) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Lifetime != CrashedLifetime || Listener < 0)
    return;
  Deployment.log().write("runner " + Name + " crashes");
  Observer.onCrash(Sockets.size());
  ::shutdown(Listener, SHUT_RDWR);
  ::close(Listener);
  Listener = -1;
  // Resets the connections, and leaves descriptors that their threads close.
  for (int Socket : Sockets) {
    linger Linger{1, 0};
    ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Linger, sizeof Linger);
    int Closed = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::dup2(Closed, Socket);
    ::close(Closed);
  }
  Sockets.clear();
  Deployment.dropRunner(Id);
  std::thread([this] {
    std::this_thread::sleep_for(DownTime);
    start();
  }).detach();
}
