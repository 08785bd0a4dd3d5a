#include "bluebellkeel/Backend/EngineClient.h"
#include "EventReader.h"
#include "ResponseReader.h"
#include "bluebellkeel/Backend/AttemptErrorOf.h"
#include "bluebellkeel/Codec/JsonText.h"
#include "bluebellkeel/Http/ClientStream.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

/// Maximum size of a response that is relayed, in bytes.
static constexpr std::size_t MaxResponseBytes = 16UL * 1024 * 1024;

/// Returns the caller's request with the version filled in, changed to stream
/// the response and to report token usage at its end. Empty if the body is not
/// a JSON object.
static std::optional<http_request> requestFor(const chat_attempt &Attempt) {
  auto Body = parseJson(Attempt.request().body());
  if (!Body || !Body->is_object())
    return std::nullopt;
  (*Body)["model"] = Attempt.version().text();
  (*Body)["stream"] = true;
  (*Body)["stream_options"] = {{"include_usage", true}};
  auto Headers = http_headers()
                     .with("Content-Type", "application/json")
                     .with("X-Request-Id", Attempt.id());
  return http_request("POST", "/v1/chat/completions", Headers, Body->dump());
}

static std::optional<attempt_error> drainEvents(event_reader &Events,
                                                response_reader &Reader) {
  while (auto Data = Events.next()) {
    auto Fault = Reader.handleEvent(*Data);
    if (Fault)
      return Fault;
    if (Reader.ended())
      break;
  }
  return std::nullopt;
}

static tl::expected<token_usage, attempt_error>
readResponse(client_stream &Stream, response_reader &Reader) {
  event_reader Events;
  std::size_t Bytes = 0;
  while (!Reader.ended()) {
    auto Piece = Stream.readSome();
    if (!Piece)
      return tl::unexpected(attemptErrorOf(Piece.error()));
    if (Piece->empty())
      return tl::unexpected(attempt_error::Truncated);
    Bytes += Piece->size();
    if (Bytes > MaxResponseBytes || !Events.feed(*Piece))
      return tl::unexpected(attempt_error::TooLarge);
    auto Fault = drainEvents(Events, Reader);
    if (Fault)
      return tl::unexpected(*Fault);
  }
  if (!Reader.complete())
    return tl::unexpected(attempt_error::Truncated);
  return Reader.usage();
}

tl::expected<token_usage, attempt_error>
engine_client::run(const chat_attempt &Attempt, response_sink &Sink) {
  auto Request = requestFor(Attempt);
  if (!Request)
    return tl::unexpected(attempt_error::Malformed);
  client_stream Stream(Yield, Timeouts);
  auto Head = Stream.open(Attempt.upstream().address(), *Request);
  if (!Head)
    return tl::unexpected(attemptErrorOf(Head.error()));
  auto Fault = attemptErrorOfStatus(Head->status());
  if (Fault)
    return tl::unexpected(*Fault);
  response_reader Reader(Attempt, Sink);
  return readResponse(Stream, Reader);
}
