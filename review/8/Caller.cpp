/// A client that sends one order after the other with an API key that no
/// configuration has ever held, each on a new channel.

#include "Http.h"
#include <csignal>
#include <cstdlib>

using namespace review;

int main(int Argc, char **Argv) {
  constexpr int WaitMs = 4000;
  constexpr int PauseMs = 200;
  std::signal(SIGPIPE, SIG_IGN);
  std::string Address = option(Argc, Argv, "to", "");
  std::string Host = option(Argc, Argv, "host", "");
  std::string Key = option(Argc, Argv, "key", "");
  std::string Name = option(Argc, Argv, "name", "caller");
  std::string File = option(Argc, Argv, "record", "/dev/null");
  std::int64_t End =
      unixMillis() + std::atoi(option(Argc, Argv, "for_ms", "10000").c_str());
  for (int Number = 1; unixMillis() < End; ++Number) {
    std::string Id = Name + "-" + std::to_string(Number);
    record(File, "sent " + Id + " with key " + Key);
    connection Connection(connectTo(Address));
    Connection.limitWaits(WaitMs);
    Connection.write("POST /order/place HTTP/1.1\r\nHost: " + Host +
                     "\r\nApi-Key: " + Key +
                     "\r\nBluebellkeel-Request-Id: " + Id +
                     "\r\nBluebellkeel-Deadline-Ms: 3000\r\n"
                     "Content-Length: 5\r\n\r\norder");
    auto Answer = Connection.readMessage();
    record(File, Answer ? "answered " + Id + " " +
                              std::to_string(Answer->status())
                        : "closed " + Id);
    sleepMillis(PauseMs);
  }
  return 0;
}
