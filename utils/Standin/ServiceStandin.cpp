#include "FaultSwitches.h"
#include "Standins.h"
#include "bluebellkeel/Codec/JsonText.h"
#include "bluebellkeel/Http/Await.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// Stand-in for a service that counts runs by the id in the request body.
/// Switches: delay_ms (delay before the run), late_ms (delay after the run),
/// drop_reply (runs, then closes the connection without a response), turn_away
/// (429).
class service_standin final : public http_handler {
public:
  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  void runCall(const http_request &Request, http_responder &Responder,
               boost::asio::yield_context Yield);

  fault_switches Faults;
  absl::Mutex Mutex;
  std::map<std::string, std::uint64_t> Runs ABSL_GUARDED_BY(Mutex);
};

} // namespace

void service_standin::runCall(const http_request &Request,
                              http_responder &Responder,
                              boost::asio::yield_context Yield) {
  if (Faults.on("turn_away")) {
    sendJsonResponse(Responder, 429, "{}");
    return;
  }
  awaitTime(Yield, milliseconds(static_cast<int>(Faults.get("delay_ms"))));
  auto Body = parseJson(Request.body()).value_or(json::object());
  std::string Id = Body.is_object() ? Body.value("id", "") : "";
  std::uint64_t Count = 0;
  {
    absl::MutexLock Lock(&Mutex);
    Count = ++Runs[Id];
  }
  awaitTime(Yield, milliseconds(static_cast<int>(Faults.get("late_ms"))));
  if (Faults.on("drop_reply")) {
    Responder.abandon();
    return;
  }
  json Reply = {{"id", Id}, {"done", Request.path()}, {"run", Count}};
  auto Headers =
      http_headers()
          .with("Content-Type", "application/json")
          .with("X-Request-Id", Request.headers().get("X-Request-Id"));
  Responder.send(http_response(200, Headers, Reply.dump()));
}

void service_standin::handle(const http_request &Request,
                             http_responder &Responder,
                             boost::asio::yield_context Yield) {
  if (Faults.handle(Request, Responder))
    return;
  if (Request.path() == "/load") {
    sendJsonResponse(Responder, 200,
                     R"({"warm":true,"held":{"requests":0,"tokens":0}})");
    return;
  }
  if (Request.path() == "/runs") {
    json Json = json::object();
    {
      absl::MutexLock Lock(&Mutex);
      for (const auto &[Id, Count] : Runs)
        Json[Id] = Count;
    }
    sendJsonResponse(Responder, 200, Json.dump());
    return;
  }
  runCall(Request, Responder, Yield);
}

std::unique_ptr<http_handler> bluebellkeel::makeServiceStandin() {
  return std::make_unique<service_standin>();
}
