#include "bluebellkeel/Backend/ServiceClient.h"
#include "bluebellkeel/Backend/AttemptErrorOf.h"
#include "bluebellkeel/Http/ClientStream.h"

using namespace bluebellkeel;

/// Maximum size of a response body that is relayed, in bytes.
static constexpr std::size_t MaxResponseBodyBytes = 1024UL * 1024;

static constexpr int StatusTooMany = 429;
static constexpr int FirstServerError = 500;
static constexpr const char *AttemptHeader = "X-Request-Id";

tl::expected<service_response, attempt_error>
service_client::call(const service_attempt &Attempt) {
  auto Headers = http_headers()
                     .with("Content-Type", "application/json")
                     .with(AttemptHeader, Attempt.id());
  http_request Request("POST", "/" + Attempt.call().operation(), Headers,
                       Attempt.call().body());
  client_stream Stream(Yield, Timeouts);
  auto Head = Stream.open(Attempt.upstream().address(), Request);
  if (!Head)
    return tl::unexpected(attemptErrorOf(Head.error()));
  // A service sends 429 before it starts on a call; it may send a 5xx after the
  // call has partly run.
  if (Head->status() == StatusTooMany)
    return tl::unexpected(attempt_error::TurnedAway);
  if (Head->status() >= FirstServerError)
    return tl::unexpected(attempt_error::Failed);
  std::string Echo = Head->headers().get(AttemptHeader);
  if (!Echo.empty() && Echo != Attempt.id())
    return tl::unexpected(attempt_error::Crossed);
  auto Body = Stream.readAll(MaxResponseBodyBytes);
  if (!Body)
    return tl::unexpected(attemptErrorOf(Body.error()));
  return service_response(Head->status(), *Body);
}
