#include "Orders.h"
#include <algorithm>
#include <csignal>

using namespace review;

static constexpr milliseconds OrderTime{400};

orders::orders(record &Record)
    : Record(Record),
      Desk("i-desk", Record, [](connection &Connection, message &Request) {
        Connection.readBody(Request);
        std::this_thread::sleep_for(OrderTime);
        Connection.send(
            format(makeResponse(200, runner::answerFields(Request), "booked")));
      }) {}

void orders::start(std::uint16_t Port, unsigned Clients) {
  for (unsigned Client = 0; Client < Clients; ++Client)
    Threads.emplace_back([this, Port, Client] { run(Port, Client); });
}

void orders::run(std::uint16_t Port, unsigned Client) {
  connection Connection(connection::dial(Port));
  for (unsigned Number = 0; !Stopping; ++Number) {
    std::string Id =
        "order-" + std::to_string(Client) + "-" + std::to_string(Number);
    Record.write("client sends " + Id);
    message Response;
    if (Connection.send(format(makeRequest("book", Id, TimeoutMs))) &&
        Connection.read(Response) == read_result::Complete) {
      Record.write("client gets " + std::to_string(Response.status()) +
                   " for " + Id);
      ++Answered;
      continue;
    }
    bool Ran = Desk.runsOf(Id) > 0;
    Record.write("client's connection closed without an answer to " + Id +
                 (Ran ? ", which ran" : ""));
    Lost += Ran ? 1 : 0;
    return;
  }
}

void orders::stop() {
  Stopping = true;
  for (auto &Thread : Threads)
    Thread.join();
}

memory_verdict review::enforceMemory(gateway &Gateway, unsigned MemoryMb,
                                     record &Record, milliseconds End) {
  constexpr milliseconds Interval{5};
  constexpr unsigned MegabyteBits = 20;
  memory_verdict Verdict;
  std::size_t Peak = 0;
  while (Record.sinceStart() < End && !Gateway.ended()) {
    Peak = std::max(Peak, Gateway.residentBytes().value_or(0));
    if (Peak > std::size_t(MemoryMb) << MegabyteBits) {
      Record.write("platform kills the gateway, which holds " +
                   std::to_string(Peak) + " bytes of memory");
      Gateway.signal(SIGKILL);
      Verdict.Killed = true;
      break;
    }
    std::this_thread::sleep_for(Interval);
  }
  Verdict.PeakMb = Peak >> MegabyteBits;
  return Verdict;
}
