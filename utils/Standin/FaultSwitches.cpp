#include "FaultSwitches.h"
#include "bluebellkeel/Codec/JsonText.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

double fault_switches::get(const std::string &Name) const {
  absl::MutexLock Lock(&Mutex);
  auto Found = Values.find(Name);
  return Found == Values.end() ? 0 : Found->second;
}

void fault_switches::set(const std::string &Name, double Value) {
  absl::MutexLock Lock(&Mutex);
  Values[Name] = Value;
}

bool fault_switches::handle(const http_request &Request,
                            http_responder &Responder) {
  if (Request.path() != "/switch")
    return false;
  auto Changes = parseJson(Request.body()).value_or(json::object());
  for (const auto &[Name, Value] : Changes.items()) {
    if (Value.is_number())
      set(Name, Value.get<double>());
  }
  json Current = json::object();
  {
    absl::MutexLock Lock(&Mutex);
    for (const auto &[Name, Value] : Values)
      Current[Name] = Value;
  }
  sendJsonResponse(Responder, 200, Current.dump());
  return true;
}

void bluebellkeel::sendJsonResponse(http_responder &Responder, int Status,
                                    const std::string &Text) {
  auto Headers = http_headers().with("Content-Type", "application/json");
  Responder.send(http_response(Status, Headers, Text + "\n"));
}
