#include "RunnerStandin.h"
#include "WireNames.h"
#include "bluebellkeel/Http/Await.h"
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace bluebellkeel;

static constexpr milliseconds EventInterval{50};

static constexpr int Ok = 200;
static constexpr int Misdirected = 421;
static constexpr int Unavailable = 503;

runner_standin::runner_standin(upstream_id Id, const runner_options &Options)
    : Id(std::move(Id)), WorkTime(Options.WorkTime), Events(Options.Events) {
  if (!Options.RunLog.empty())
    RunLog.open(Options.RunLog, std::ios::app);
  if (!Options.ArrivalLog.empty())
    ArrivalLog.open(Options.ArrivalLog, std::ios::app);
  if (!Options.EndLog.empty())
    EndLog.open(Options.EndLog, std::ios::app);
}

static std::string unixMillis() {
  auto Now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return std::to_string(Now.count());
}

http_headers runner_standin::headersFor(const http_request &Request,
                                        const notice &Sent) const {
  auto Headers = http_headers()
                     .with(std::string(wire::RequestId),
                           Request.headers().get(wire::RequestId))
                     .with(std::string(wire::Stamp), Id.text());
  if (!Sent.Limit.empty())
    Headers = Headers.with(std::string(wire::ServerLimit), Sent.Limit);
  if (!Sent.Leaving.empty())
    Headers = Headers.with(std::string(wire::ServerLeaving), Sent.Leaving);
  return Headers;
}

void runner_standin::setNotice(const http_request &Request) {
  absl::MutexLock Lock(&Mutex);
  Notice = {Request.query("limit"), Request.query("leaving"),
            Request.query("pause_ms")};
}

void runner_standin::recordArrival(const std::string &Request,
                                   const notice &Sent) {
  std::string Line = unixMillis() + " " + Id.text() + "/" +
                     std::to_string(getpid()) + " " + Request +
                     " limit=" + Sent.Limit + " leaving=" + Sent.Leaving +
                     " pause_ms=" + Sent.PauseMs + "\n";
  absl::MutexLock Lock(&Mutex);
  if (ArrivalLog.is_open())
    ArrivalLog << Line << std::flush;
}

void runner_standin::turnAway(const http_request &Request, const notice &Sent,
                              http_responder &Responder) const {
  constexpr double MillisPerSecond = 1000;
  Responder.send(http_response(
      Unavailable,
      headersFor(Request, Sent)
          .with(std::string(wire::NotExecuted), "1")
          .with(std::string(wire::RetryAfter),
                std::to_string(std::stod(Sent.PauseMs) / MillisPerSecond)),
      ""));
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

void runner_standin::recordEnd(const std::string &Request) {
  absl::MutexLock Lock(&Mutex);
  if (EndLog.is_open())
    EndLog << unixMillis() + " " + Request + "\n" << std::flush;
}

milliseconds runner_standin::drawWorkTime() {
  absl::MutexLock Lock(&Mutex);
  return WorkTime.draw(Random);
}

void runner_standin::handle(const http_request &Request,
                            http_responder &Responder,
                            boost::asio::yield_context Yield) {
  if (Request.path() == "/runs") {
    Responder.send(http_response(Ok, http_headers(), runs()));
    return;
  }
  if (Request.path() == "/notice") {
    setNotice(Request);
    Responder.send(http_response(Ok, http_headers(), ""));
    return;
  }
  if (Request.headers().get(wire::ExpectInstance) != Id.text()) {
    Responder.send(http_response(Misdirected, http_headers(), ""));
    return;
  }
  notice Sent = currentNotice();
  recordArrival(Request.headers().get(wire::RequestId), Sent);
  if (!Sent.PauseMs.empty()) {
    turnAway(Request, Sent, Responder);
    return;
  }
  recordRun(Request.headers().get(wire::RequestId));
  if (Request.path().rfind("/stream/", 0) == 0) {
    stream(Request, Sent, Responder, Yield);
    return;
  }
  milliseconds Work = drawWorkTime();
  if (Work.count() > 0)
    awaitTime(Yield, Work);
  recordEnd(Request.headers().get(wire::RequestId));
  Responder.send(http_response(Ok, headersFor(Request, Sent), "done"));
}

void runner_standin::stream(const http_request &Request, const notice &Sent,
                            http_responder &Responder,
                            boost::asio::yield_context Yield) {
  std::string After = Request.headers().get(wire::LastEventId);
  int Next = After.empty() ? 1 : std::atoi(After.c_str()) + 1;
  Responder.begin(
      Ok, headersFor(Request, Sent).with("Content-Type", "text/event-stream"));
  for (; Next <= Events; ++Next) {
    if (!Responder.write("id: " + std::to_string(Next) + "\ndata: word\n\n"))
      return;
    awaitTime(Yield, EventInterval);
  }
  recordEnd(Request.headers().get(wire::RequestId));
  Responder.end();
}
