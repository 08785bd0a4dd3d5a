/// Stand-in for a runner. It answers below /order/ after its work, sends a long
/// answer below /report/, streams events below /stream/, and records each
/// request that it runs and each run's end.

#include "Http.h"
#include <csignal>
#include <cstdlib>
#include <sys/socket.h>
#include <thread>

using namespace review;

namespace {

struct runner {
  std::string Id;
  std::string File;
  std::int64_t WorkMs = 0;
  int Events = 0;
  std::int64_t GapMs = 0;
  std::size_t ReportBytes = 0;

  void serve(int Socket) const;

private:
  std::string headOf(const message &Request, int Status) const;
  bool answer(connection &Connection, const message &Request) const;
  bool report(connection &Connection, const message &Request) const;
  bool stream(connection &Connection, const message &Request) const;
};

} // namespace

std::string runner::headOf(const message &Request, int Status) const {
  return "HTTP/1.1 " + std::to_string(Status) +
         " x\r\nBluebellkeel-Request-Id: " +
         Request.field("Bluebellkeel-Request-Id") +
         "\r\nBluebellkeel-Server-Stamp: " + Id + "." +
         Request.field("Bluebellkeel-Request-Id") + "\r\n";
}

bool runner::answer(connection &Connection, const message &Request) const {
  sleepMillis(WorkMs);
  std::string Body = "done " + Request.field("Bluebellkeel-Request-Id");
  return Connection.write(headOf(Request, 200) +
                          "Content-Length: " + std::to_string(Body.size()) +
                          "\r\n\r\n" + (Request.word(0) == "HEAD" ? "" : Body));
}

bool runner::report(connection &Connection, const message &Request) const {
  return Connection.write(headOf(Request, 200) +
                          "Content-Length: " + std::to_string(ReportBytes) +
                          "\r\n\r\n" + std::string(ReportBytes, 'r'));
}

bool runner::stream(connection &Connection, const message &Request) const {
  constexpr std::size_t TextSize = 64;
  if (!Connection.write(headOf(Request, 200) +
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  int First = std::atoi(Request.field("Last-Event-Id").c_str()) + 1;
  for (int Number = First; Number <= Events; ++Number) {
    std::string Event = "id: " + std::to_string(Number) + "\ndata: word\n\n";
    char Size[TextSize];
    std::snprintf(Size, TextSize, "%zx\r\n", Event.size());
    if (!Connection.write(Size + Event + "\r\n"))
      return false;
    sleepMillis(GapMs);
  }
  return Connection.write("0\r\n\r\n");
}

void runner::serve(int Socket) const {
  /// An answer that remains unread for this long is cut off.
  constexpr int UnreadMs = 10000;
  connection Connection(Socket);
  Connection.limitWaits(UnreadMs);
  while (auto Request = Connection.readMessage()) {
    std::string Name = Request->field("Bluebellkeel-Request-Id");
    if (Request->field("Bluebellkeel-Expect-Instance") != Id) {
      Connection.write("HTTP/1.1 421 x\r\nBluebellkeel-Not-Executed: 1\r\n"
                       "Content-Length: 0\r\n\r\n");
      return;
    }
    record(File, "run " + Name + " at " + Id);
    bool Sent = false;
    if (Request->path().rfind("/stream/", 0) == 0)
      Sent = stream(Connection, *Request);
    else if (Request->path().rfind("/report/", 0) == 0)
      Sent = report(Connection, *Request);
    else
      Sent = answer(Connection, *Request);
    record(File, "ran " + Name + (Sent ? " sent" : " unsent"));
    if (!Sent || Request->field("Connection") == "close")
      return;
  }
}

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  auto Number = [&](const char *Name, const char *Default) {
    return std::atoi(option(Argc, Argv, Name, Default).c_str());
  };
  runner Runner;
  Runner.Id = option(Argc, Argv, "id", "i-1");
  Runner.File = option(Argc, Argv, "record", "/dev/null");
  Runner.WorkMs = Number("work_ms", "0");
  Runner.Events = Number("events", "20");
  Runner.GapMs = Number("gap_ms", "50");
  Runner.ReportBytes = static_cast<std::size_t>(Number("report_bytes", "0"));
  int Listener =
      listenOn("127.0.0.1", static_cast<std::uint16_t>(Number("port", "0")));
  if (Listener < 0)
    return 1;
  while (true) {
    int Socket = accept(Listener, nullptr, nullptr);
    if (Socket >= 0)
      std::thread([&Runner, Socket] { Runner.serve(Socket); }).detach();
  }
}
