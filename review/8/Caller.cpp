/// A client that sends one order after the other with one API key, each on a
/// new channel.

#include "../standins-2/Http.h"
#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

struct caller {
  std::string Address;
  std::string Host;
  std::string Key;
  std::string File;

  void sendOrder(const std::string &Id) const;
};

} // namespace

void caller::sendOrder(const std::string &Id) const {
  constexpr int WaitMs = 4000;
  record(File, "sent " + Id);
  connection Connection(connectTo(Address));
  Connection.limitWaits(WaitMs);
  Connection.write("POST /order/place HTTP/1.1\r\nHost: " + Host +
                   "\r\nApi-Key: " + Key +
                   "\r\nBluebellkeel-Request-Id: " + Id +
                   "\r\nBluebellkeel-Deadline-Ms: 3000\r\n"
                   "Content-Length: 5\r\n\r\norder");
  auto Answer = Connection.readMessage();
  record(File, Answer
                   ? "answered " + Id + " " + std::to_string(Answer->status())
                   : "closed " + Id);
}

int main(int Argc, char **Argv) {
  constexpr int PauseMs = 200;
  std::signal(SIGPIPE, SIG_IGN);
  caller Caller;
  Caller.Address = option(Argc, Argv, "to", "");
  Caller.Host = option(Argc, Argv, "host", "");
  Caller.Key = option(Argc, Argv, "key", "");
  Caller.File = option(Argc, Argv, "record", "/dev/null");
  std::string Name = option(Argc, Argv, "name", "caller");
  record(Caller.File, "client " + Name + " has the key " + Caller.Key);
  std::int64_t End =
      unixMillis() + std::atoi(option(Argc, Argv, "for_ms", "10000").c_str());
  for (int Number = 1; unixMillis() < End; ++Number) {
    Caller.sendOrder(Name + "-" + std::to_string(Number));
    sleepMillis(PauseMs);
  }
  return 0;
}
