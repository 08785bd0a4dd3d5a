#include "Streams.h"
#include "Runner.h"
#include <array>
#include <cstdio>
#include <cstdlib>
#include <thread>

using namespace review;

std::string review::streamHead(const message &Request) {
  std::string Head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                     "Content-Type: text/event-stream\r\n";
  for (const auto &[Name, Value] : runner::answerFields(Request))
    Head.append(Name).append(": ").append(Value).append("\r\n");
  return Head + "\r\n";
}

std::string review::streamEvent(int Number) {
  constexpr std::size_t SizeDigits = 16;
  std::string Event = "id: " + std::to_string(Number) + "\ndata: a word\n\n";
  std::array<char, SizeDigits> Size;
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Event.size());
  return Size.data() + Event + "\r\n";
}

void review::answerStream(connection &Connection, const message &Request,
                          int Events, milliseconds Interval) {
  int First = std::atoi(Request.get("Last-Event-Id").c_str()) + 1;
  Connection.send(streamHead(Request));
  for (int I = First; I <= Events; ++I) {
    if (!Connection.send(streamEvent(I)))
      return;
    std::this_thread::sleep_for(Interval);
  }
  Connection.send(StreamEnd);
}
