#include "Caller.h"
#include "absl/strings/str_cat.h"
#include "bluebellkeel/Codec/JsonText.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

static constexpr int StatusOk = 200;
static constexpr int FirstErrorStatus = 300;

caller::caller(std::vector<network_address> KnownAddresses, std::string ApiKey)
    : KnownAddresses(std::move(KnownAddresses)), ApiKey(std::move(ApiKey)),
      Client(http_timeouts(seconds(1), seconds(10), seconds(10))) {}

http_headers caller::headers() const {
  return http_headers()
      .with("Authorization", "Bearer " + ApiKey)
      .with("Content-Type", "application/json");
}

static std::vector<network_address> addressesFrom(const json &Json) {
  std::vector<network_address> Result;
  for (const auto &Item : Json.value("addresses", json::array())) {
    auto Address = network_address::parse(Item.get<std::string>());
    if (Address)
      Result.push_back(*Address);
  }
  return Result;
}

std::vector<network_address> caller::addresses() {
  if (SkipsDiscovery)
    return KnownAddresses;
  monotonic_time Now = std::chrono::steady_clock::now();
  if (Now < DiscoveredUntil && !Discovered.empty())
    return Discovered;
  for (const auto &Address : KnownAddresses) {
    auto Response =
        Client.send(Address, http_request("GET", "/v1/addresses", {}, ""));
    if (!Response || Response->status() != StatusOk)
      continue;
    auto Json = parseJson(Response->body()).value_or(json::object());
    auto Found = addressesFrom(Json);
    if (Found.empty())
      continue;
    Discovered = Found;
    DiscoveredUntil = Now + seconds(Json.value("valid_for_s", 1));
    return Discovered;
  }
  return KnownAddresses;
}

/// Parses an error body: the reason, and NotRun if the body has
/// `not_run: true`.
static request_result refusalFrom(const json &Json) {
  request_result Result;
  Result.End = request_outcome::Refused;
  json Error = Json.value("error", json::object());
  Result.Reason = Error.value("code", "no_code");
  if (Error.value("not_run", json()) == json(true))
    Result.End = request_outcome::NotRun;
  return Result;
}

tl::expected<http_response, http_error>
caller::sendAnywhere(const http_request &Request) {
  tl::expected<http_response, http_error> Last =
      tl::unexpected(http_error::ConnectFailed);
  for (const auto &Address : addresses()) {
    Last = Client.send(Address, Request);
    if (!Last && Last.error() == http_error::ConnectFailed)
      continue;
    if (Last && Last->status() == 503) {
      auto Json = parseJson(Last->body()).value_or(json::object());
      if (refusalFrom(Json).End == request_outcome::NotRun)
        continue;
    }
    return Last;
  }
  return Last;
}

/// Joins the content of a streamed answer. The outcome is Whole only if the
/// stream ends with its `[DONE]` event.
static request_result streamFrom(const std::string &Body) {
  static const std::string Field = "data: ";
  request_result Result;
  std::size_t Start = 0;
  while (Start < Body.size()) {
    std::size_t End = Body.find('\n', Start);
    if (End == std::string::npos)
      break;
    std::string Line = Body.substr(Start, End - Start);
    Start = End + 1;
    if (Line.compare(0, Field.size(), Field) != 0)
      continue;
    std::string Data = Line.substr(Field.size());
    if (Data == "[DONE]") {
      Result.End = request_outcome::Whole;
      return Result;
    }
    auto Json = parseJson(Data).value_or(json::object());
    if (Json.contains("error"))
      return refusalFrom(Json);
    static const json::json_pointer Content("/choices/0/delta/content");
    Result.Text += Json.value(Content, std::string());
  }
  return Result;
}

static request_result completionFrom(const std::string &Body) {
  request_result Result;
  auto Json = parseJson(Body).value_or(json::object());
  if (!Json.contains("choices"))
    return Result;
  Result.End = request_outcome::Whole;
  Result.Text = Json["choices"][0]["message"].value("content", "");
  return Result;
}

request_result caller::chat(const std::string &Model, const std::string &Prompt,
                            std::uint64_t MaxTokens, bool Stream,
                            const std::string &Key,
                            const std::string &Session) {
  json Message = {{"role", "user"}, {"content", Prompt}};
  json Body = {{"model", Model},
               {"stream", Stream},
               {"max_tokens", MaxTokens},
               {"messages", json::array({Message})}};
  auto Headers = headers().with("Idempotency-Key", Key);
  if (!Session.empty())
    Headers = Headers.with("Bluebellkeel-Session", Session);
  auto Response = sendAnywhere(
      http_request("POST", "/v1/chat/completions", Headers, Body.dump()));
  request_result Result;
  if (!Response) {
    Result.Reason = std::string(toString(Response.error()));
    return Result;
  }
  if (Response->status() != StatusOk)
    return refusalFrom(parseJson(Response->body()).value_or(json::object()));
  Result =
      Stream ? streamFrom(Response->body()) : completionFrom(Response->body());
  Result.Version = Response->headers().get("Bluebellkeel-Version");
  Result.Session = Response->headers().get("Bluebellkeel-Session");
  return Result;
}

request_result caller::sendServiceRequest(const http_request &Request) {
  request_result Result;
  auto Response = sendAnywhere(Request);
  if (!Response) {
    Result.Reason = std::string(toString(Response.error()));
    if (Response.error() == http_error::ConnectFailed)
      Result.End = request_outcome::NotRun;
    return Result;
  }
  if (Response->status() >= FirstErrorStatus)
    return refusalFrom(parseJson(Response->body()).value_or(json::object()));
  Result.End = request_outcome::Whole;
  Result.Text = Response->body();
  return Result;
}

request_result caller::order(const std::string &Service,
                             const std::string &Operation,
                             const std::string &Body, unsigned Resends) {
  auto Issued =
      sendAnywhere(http_request("POST", "/v1/tickets", headers(), ""));
  request_result Result;
  Result.End = request_outcome::NotRun;
  Result.Reason = "no_ticket";
  if (!Issued || Issued->status() != StatusOk)
    return Result;
  auto Json = parseJson(Issued->body()).value_or(json::object());
  auto TicketHeaders =
      headers().with("Bluebellkeel-Ticket", Json.value("ticket", ""));
  std::string Target = absl::StrCat("/v1/services/", Service, "/", Operation);
  for (unsigned Attempt = 1; Attempt <= Resends + 1; ++Attempt) {
    auto Headers =
        TicketHeaders.with("Bluebellkeel-Attempt", absl::StrCat(Attempt));
    Result = sendServiceRequest(http_request("POST", Target, Headers, Body));
    if (Result.End == request_outcome::Whole)
      return Result;
  }
  return Result;
}

request_result caller::call(const std::string &Service,
                            const std::string &Operation,
                            const std::string &Body) {
  std::string Target = absl::StrCat("/v1/services/", Service, "/", Operation);
  return sendServiceRequest(http_request("POST", Target, headers(), Body));
}
