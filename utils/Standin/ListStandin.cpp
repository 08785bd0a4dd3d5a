#include "FaultSwitches.h"
#include "Standins.h"
#include "bluebellkeel/Codec/JsonText.h"
#include "bluebellkeel/Core/Time.h"
#include <deque>
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// Stand-in for the platform's list. POST /instances puts a record, DELETE
/// /instances?id= removes one. Switches: lag_ms (age of the returned list),
/// down (503).
class list_standin final : public http_handler {
public:
  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  struct version {
    monotonic_time Since;
    json Records;
  };

  void change(const http_request &Request) ABSL_LOCKS_EXCLUDED(Mutex);
  json current() ABSL_LOCKS_EXCLUDED(Mutex);

  fault_switches Faults;
  absl::Mutex Mutex;
  std::deque<version> Versions ABSL_GUARDED_BY(Mutex);
};

} // namespace

void list_standin::change(const http_request &Request) {
  absl::MutexLock Lock(&Mutex);
  json Records = Versions.empty() ? json::object() : Versions.back().Records;
  if (Request.method() == "DELETE")
    Records.erase(Request.query("id"));
  else if (auto Body = parseJson(Request.body()))
    Records[Body->value("id", "")] = *Body;
  Versions.push_back({std::chrono::steady_clock::now(), Records});
}

json list_standin::current() {
  auto Lag = milliseconds(static_cast<int>(Faults.get("lag_ms")));
  monotonic_time AsOf = std::chrono::steady_clock::now() - Lag;
  absl::MutexLock Lock(&Mutex);
  json Found = json::object();
  for (const auto &Version : Versions) {
    if (Version.Since <= AsOf)
      Found = Version.Records;
  }
  json List = json::array();
  for (const auto &[Id, Record] : Found.items())
    List.push_back(Record);
  return {{"instances", std::move(List)}};
}

void list_standin::handle(const http_request &Request,
                          http_responder &Responder,
                          boost::asio::yield_context /*Yield*/) {
  if (Faults.handle(Request, Responder))
    return;
  if (Faults.on("down")) {
    sendJsonResponse(Responder, 503, "{}");
    return;
  }
  if (Request.method() != "GET")
    change(Request);
  sendJsonResponse(Responder, 200, current().dump());
}

std::unique_ptr<http_handler> bluebellkeel::makeListStandin() {
  return std::make_unique<list_standin>();
}
