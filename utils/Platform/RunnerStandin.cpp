#include "RunnerStandin.h"
#include "WireNames.h"
#include "bluebellkeel/Http/Await.h"
#include <cstdlib>
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

static constexpr int Events = 20;
static constexpr milliseconds EventInterval{50};

static constexpr int Ok = 200;
static constexpr int Misdirected = 421;

http_headers runner_standin::headersFor(const http_request &Request) const {
  return http_headers()
      .with(std::string(wire::RequestId),
            Request.headers().get(wire::RequestId))
      .with(std::string(wire::Stamp), Id.text());
}

std::string runner_standin::runs() const {
  absl::MutexLock Lock(&Mutex);
  return nlohmann::json(Runs).dump();
}

void runner_standin::recordRun(const std::string &Request) {
  absl::MutexLock Lock(&Mutex);
  ++Runs[Request];
  // Each line is a single write, since several runners may share the file.
  if (RunLog.is_open())
    RunLog << Request + "\n" << std::flush;
}

void runner_standin::handle(const http_request &Request,
                            http_responder &Responder,
                            boost::asio::yield_context Yield) {
  if (Request.path() == "/runs") {
    Responder.send(http_response(Ok, http_headers(), runs()));
    return;
  }
  if (Request.headers().get(wire::ExpectInstance) != Id.text()) {
    Responder.send(http_response(Misdirected, http_headers(), ""));
    return;
  }
  recordRun(Request.headers().get(wire::RequestId));
  if (Request.path().rfind("/stream/", 0) == 0) {
    stream(Request, Responder, Yield);
    return;
  }
  if (WorkTime.count() > 0)
    awaitTime(Yield, WorkTime);
  Responder.send(http_response(Ok, headersFor(Request), "done"));
}

void runner_standin::stream(const http_request &Request,
                            http_responder &Responder,
                            boost::asio::yield_context Yield) const {
  std::string After = Request.headers().get(wire::LastEventId);
  int Next = After.empty() ? 1 : std::atoi(After.c_str()) + 1;
  Responder.begin(
      Ok, headersFor(Request).with("Content-Type", "text/event-stream"));
  for (; Next <= Events; ++Next) {
    if (!Responder.write("id: " + std::to_string(Next) + "\ndata: word\n\n"))
      return;
    awaitTime(Yield, EventInterval);
  }
  Responder.end();
}
