#include "FaultSwitches.h"
#include "Standins.h"
#include "absl/strings/numbers.h"
#include "bluebellkeel/Codec/JsonText.h"
#include "bluebellkeel/Core/Time.h"
#include <nlohmann/json.hpp>
#include <vector>

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// Stand-in for the rating service. An answer is rated good unless its text
/// contains ":bad". Switch: late_ms (delay until a rating is available).
class rater_standin final : public http_handler {
public:
  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  struct answer {
    monotonic_time At;
    std::string Origin;
    std::string Version;
    bool Good;
  };

  json ratings(const http_request &Request);

  fault_switches Faults;
  absl::Mutex Mutex;
  std::vector<answer> Answers ABSL_GUARDED_BY(Mutex);
};

} // namespace

json rater_standin::ratings(const http_request &Request) {
  std::uint64_t After = 0;
  (void)absl::SimpleAtoi(Request.query("after"), &After);
  std::string Origin = Request.query("origin");
  auto RatingDelay = milliseconds(static_cast<int>(Faults.get("late_ms")));
  monotonic_time AsOf = std::chrono::steady_clock::now() - RatingDelay;
  json Ratings = json::array();
  absl::MutexLock Lock(&Mutex);
  for (std::size_t I = After; I < Answers.size(); ++I) {
    const answer &Answer = Answers[I];
    if (Answer.Origin != Origin || Answer.At > AsOf)
      continue;
    Ratings.push_back({{"number", I + 1},
                       {"version", Answer.Version},
                       {"good", Answer.Good}});
  }
  return {{"ratings", std::move(Ratings)}};
}

void rater_standin::handle(const http_request &Request,
                           http_responder &Responder,
                           boost::asio::yield_context /*Yield*/) {
  if (Faults.handle(Request, Responder))
    return;
  if (Request.path() == "/ratings") {
    sendJsonResponse(Responder, 200, ratings(Request).dump());
    return;
  }
  auto Body = parseJson(Request.body()).value_or(json::object());
  bool Good = Body.value("answer", "").find(":bad") == std::string::npos;
  {
    absl::MutexLock Lock(&Mutex);
    Answers.push_back({std::chrono::steady_clock::now(),
                       Body.value("origin", ""), Body.value("version", ""),
                       Good});
  }
  sendJsonResponse(Responder, 202, "{}");
}

std::unique_ptr<http_handler> bluebellkeel::makeRaterStandin() {
  return std::make_unique<rater_standin>();
}
