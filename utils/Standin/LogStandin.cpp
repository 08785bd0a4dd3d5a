#include "FaultSwitches.h"
#include "Standins.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "bluebellkeel/Codec/JsonText.h"
#include "bluebellkeel/Http/Await.h"
#include <deque>
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// Stand-in for the platform's log. Switches: down (503), delay_ms,
/// lose_answers (an append takes effect but returns an error). POST /trim drops
/// the records of a stream before an offset.
class log_standin final : public http_handler {
public:
  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  struct stream {
    std::uint64_t First = 1;
    std::deque<json> Records;
    std::uint64_t Appends = 0;
  };

  void append(const std::string &Name, const http_request &Request,
              http_responder &Responder);
  void read(const std::string &Name, const http_request &Request,
            http_responder &Responder);
  json pageOf(const std::string &Name, std::uint64_t From, std::uint64_t Max);
  void trim(const http_request &Request, http_responder &Responder);

  fault_switches Faults;
  absl::Mutex Mutex;
  std::map<std::string, stream> Streams ABSL_GUARDED_BY(Mutex);
};

} // namespace

void log_standin::append(const std::string &Name, const http_request &Request,
                         http_responder &Responder) {
  auto Body = parseJson(Request.body()).value_or(json::object());
  if (!Body.contains("records") || !Body["records"].is_array()) {
    sendJsonResponse(Responder, 400, "{\"error\":\"records expected\"}");
    return;
  }
  std::uint64_t First = 0;
  {
    absl::MutexLock Lock(&Mutex);
    stream &Stream = Streams[Name];
    First = Stream.First + Stream.Records.size();
    ++Stream.Appends;
    for (auto &Record : Body["records"])
      Stream.Records.push_back(std::move(Record));
  }
  if (Faults.on("lose_answers"))
    sendJsonResponse(Responder, 500, "{\"error\":\"lost\"}");
  else
    sendJsonResponse(Responder, 200, absl::StrCat("{\"first\":", First, "}"));
}

void log_standin::read(const std::string &Name, const http_request &Request,
                       http_responder &Responder) {
  std::uint64_t From = 1;
  std::uint64_t Max = 1000;
  (void)absl::SimpleAtoi(Request.query("from"), &From);
  (void)absl::SimpleAtoi(Request.query("max"), &Max);
  sendJsonResponse(Responder, 200, pageOf(Name, From, Max).dump());
}

json log_standin::pageOf(const std::string &Name, std::uint64_t From,
                         std::uint64_t Max) {
  json Records = json::array();
  absl::MutexLock Lock(&Mutex);
  stream &Stream = Streams[Name];
  std::uint64_t End = Stream.First + Stream.Records.size();
  for (std::uint64_t Offset = std::max(From, Stream.First);
       Offset < End && Records.size() < Max; ++Offset)
    Records.push_back(
        {{"offset", Offset}, {"data", Stream.Records[Offset - Stream.First]}});
  return {{"head", End - 1},
          {"first_retained", Stream.First},
          {"appends", Stream.Appends},
          {"records", std::move(Records)}};
}

void log_standin::trim(const http_request &Request, http_responder &Responder) {
  auto Body = parseJson(Request.body()).value_or(json::object());
  std::uint64_t Before = Body.value("before", std::uint64_t(0));
  std::uint64_t First = 0;
  {
    absl::MutexLock Lock(&Mutex);
    stream &Stream = Streams[Body.value("stream", "settings")];
    while (!Stream.Records.empty() && Stream.First < Before) {
      Stream.Records.pop_front();
      ++Stream.First;
    }
    First = Stream.First;
  }
  sendJsonResponse(Responder, 200, absl::StrCat("{\"first\":", First, "}"));
}

void log_standin::handle(const http_request &Request, http_responder &Responder,
                         boost::asio::yield_context Yield) {
  static const std::string Prefix = "/streams/";
  if (Faults.handle(Request, Responder))
    return;
  if (Request.path() == "/trim") {
    trim(Request, Responder);
    return;
  }
  if (Faults.on("delay_ms"))
    awaitTime(Yield, milliseconds(static_cast<int>(Faults.get("delay_ms"))));
  if (Faults.on("down")) {
    sendJsonResponse(Responder, 503, "{\"error\":\"down\"}");
    return;
  }
  std::string Path = Request.path();
  if (Path.compare(0, Prefix.size(), Prefix) != 0) {
    sendJsonResponse(Responder, 404, "{}");
    return;
  }
  std::string Name = Path.substr(Prefix.size());
  if (Request.method() == "POST")
    append(Name, Request, Responder);
  else
    read(Name, Request, Responder);
}

std::unique_ptr<http_handler> bluebellkeel::makeLogStandin() {
  return std::make_unique<log_standin>();
}
