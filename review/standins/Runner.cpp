#include "Runner.h"

using namespace review;

unsigned runner::runsOf(const std::string &Request) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto Found = Runs.find(Request);
  return Found == Runs.end() ? 0 : Found->second;
}

field_list runner::answerFields(const message &Request) {
  std::string Name = Request.get("Bluebellkeel-Request-Id");
  return {{"Bluebellkeel-Request-Id", Name},
          {"Bluebellkeel-Server-Stamp", "stamp." + Name}};
}

void runner::serve(connection &Connection) {
  constexpr int Misdirected = 421;
  message Request;
  while (Connection.readHead(Request) == read_result::Complete) {
    if (Request.get("Bluebellkeel-Expect-Instance") != Id) {
      Connection.readBody(Request);
      Connection.send(format(
          makeResponse(Misdirected, {{"Bluebellkeel-Not-Executed", "1"}}, "")));
      return;
    }
    std::string Name = Request.get("Bluebellkeel-Request-Id");
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      ++Runs[Name];
    }
    Record.write("runner " + Id + " runs " + Name);
    Answer(Connection, Request);
    if (!Connection.isOpen() || Request.get("Connection") == "close")
      return;
  }
}
