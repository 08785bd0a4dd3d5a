#include "JsonResponse.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

void bluebellkeel::sendJson(http_responder &Responder, int Status,
                            const json &Json, const http_headers &Headers) {
  std::string Body =
      Json.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  Responder.send(http_response(
      Status, Headers.with("Content-Type", "application/json"), Body));
}

void bluebellkeel::sendError(http_responder &Responder, int Status,
                             std::string_view Code, std::string_view Message) {
  json Error = {{"code", std::string(Code)}, {"message", std::string(Message)}};
  sendJson(Responder, Status, {{"error", std::move(Error)}});
}

json bluebellkeel::errorToJson(const refusal &Refusal) {
  json NotRun = std::string(toNotRun(Refusal.run()));
  if (Refusal.run() != run_state::Unknown)
    NotRun = Refusal.run() == run_state::NotRun;
  return {{"error",
           {{"code", std::string(toString(Refusal.reason()))},
            {"message", Refusal.detail()},
            {"type", "bluebellkeel_error"},
            {"not_run", std::move(NotRun)}}}};
}

void bluebellkeel::sendRefusal(http_responder &Responder,
                               const refusal &Refusal,
                               const http_headers &Headers) {
  sendJson(Responder, httpStatus(Refusal.reason()), errorToJson(Refusal),
           Headers);
}
