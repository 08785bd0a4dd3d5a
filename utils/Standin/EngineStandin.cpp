#include "FaultSwitches.h"
#include "Standins.h"
#include "absl/strings/str_cat.h"
#include "bluebellkeel/Codec/JsonText.h"
#include "bluebellkeel/Http/Await.h"
#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

/// Number of completions after which a cold engine is warm.
static constexpr std::uint32_t WarmUpCompletions = 4;
static constexpr std::uint64_t MaxStandinTokens = 4096;
static constexpr std::uint64_t DefaultTokens = 16;
static constexpr std::uint64_t BytesPerToken = 3;

namespace {

/// Stand-in for a model engine. It crashes when its load exceeds its limits and
/// restarts cold. A prompt with CRASH-ME crashes it. Switches:
/// - first_ms, token_ms: delay before the first chunk and after each chunk;
/// - crossed: each request gets the answer to the previous one;
/// - truncate_at: number of the chunk, from 1 on, before which the connection
///   is closed;
/// - silent_at: number of the chunk, from 1 on, before which the engine is
///   silent for 60 s;
/// - no_end: the answer ends without its last events;
/// - restart_ms: time until the engine serves again after a crash;
/// - go_cold: the engine becomes cold at the next request;
/// - load_frozen: the load report no longer changes;
/// - turn_away: requests are refused with 429;
/// - honour_fencing: orders with an older fencing number are refused.
class engine_standin final : public http_handler {
public:
  explicit engine_standin(const engine_options &Options)
      : Options(Options), Warm(Options.StartWarm) {
    Faults.set("token_ms", 1);
    Faults.set("restart_ms", 500);
  }

  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  void complete(const http_request &Request, http_responder &Responder,
                boost::asio::yield_context Yield);
  void stream(const http_request &Request, std::uint64_t Tokens,
              http_responder &Responder, boost::asio::yield_context Yield);
  bool admit(std::uint64_t RequestTokens);
  void releaseLoad(std::uint64_t RequestTokens, std::uint64_t Incarnation);
  void crash();
  bool restarting() const;
  void sendLoadReport(http_responder &Responder);
  void sendStatistics(http_responder &Responder);
  void order(const http_request &Request, http_responder &Responder);
  std::string pieceText(std::uint64_t Index, bool Good,
                        const std::string &Prompt) const;

  engine_options Options;
  fault_switches Faults;
  absl::Mutex Mutex;
  bool Warm ABSL_GUARDED_BY(Mutex);
  std::uint32_t Running ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t TokensInUse ABSL_GUARDED_BY(Mutex) = 0;
  std::uint32_t CompletionsSinceCold ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t Started ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t Completed ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t Crashes ABSL_GUARDED_BY(Mutex) = 0;
  std::uint32_t MaxRunning ABSL_GUARDED_BY(Mutex) = 0;
  std::uint32_t MaxRunningCold ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t MaxTokens ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t Fence ABSL_GUARDED_BY(Mutex) = 0;
  json Loaded ABSL_GUARDED_BY(Mutex);
  json FrozenReport ABSL_GUARDED_BY(Mutex);
  std::string LastAttempt ABSL_GUARDED_BY(Mutex);
  std::string LastPrompt ABSL_GUARDED_BY(Mutex);
  monotonic_time DownUntil ABSL_GUARDED_BY(Mutex);
  std::atomic<std::uint64_t> Incarnation{0};
};

} // namespace

/// Adds a request to the load. Crashes the engine and returns false if the load
/// then exceeds its limits.
bool engine_standin::admit(std::uint64_t RequestTokens) {
  bool Overloaded = false;
  {
    absl::MutexLock Lock(&Mutex);
    if (Faults.on("go_cold")) {
      Warm = false;
      CompletionsSinceCold = 0;
      Faults.set("go_cold", 0);
    }
    ++Running;
    ++Started;
    TokensInUse += RequestTokens;
    MaxRunning = std::max(MaxRunning, Running);
    MaxTokens = std::max(MaxTokens, TokensInUse);
    if (!Warm)
      MaxRunningCold = std::max(MaxRunningCold, Running);
    std::uint32_t Bound = Warm ? Options.WarmRequests : Options.ColdRequests;
    Overloaded = Running > Bound || TokensInUse > Options.Tokens;
  }
  if (Overloaded)
    crash();
  return !Overloaded;
}

void engine_standin::releaseLoad(std::uint64_t RequestTokens,
                                 std::uint64_t AdmittedIncarnation) {
  absl::MutexLock Lock(&Mutex);
  if (Incarnation != AdmittedIncarnation)
    return;
  --Running;
  TokensInUse -= RequestTokens;
}

void engine_standin::crash() {
  absl::MutexLock Lock(&Mutex);
  ++Incarnation;
  ++Crashes;
  Running = 0;
  TokensInUse = 0;
  Warm = false;
  CompletionsSinceCold = 0;
  DownUntil = std::chrono::steady_clock::now() +
              milliseconds(static_cast<std::int64_t>(Faults.get("restart_ms")));
}

bool engine_standin::restarting() const {
  auto *Self = const_cast<engine_standin *>(this);
  absl::MutexLock Lock(&Self->Mutex);
  return std::chrono::steady_clock::now() < Self->DownUntil;
}

/// Returns the text of a chunk. Chunk 0 names the version and the quality of
/// the answer, chunk 1 the prompt, so that a test can detect an answer to
/// another request.
std::string engine_standin::pieceText(std::uint64_t Index, bool Good,
                                      const std::string &Prompt) const {
  if (Index == 0)
    return absl::StrCat(Options.Version, Good ? ":good" : ":bad");
  if (Index == 1)
    return absl::StrCat(" to <", Prompt, ">");
  return absl::StrCat(" w", Index);
}

void engine_standin::complete(const http_request &Request,
                              http_responder &Responder,
                              boost::asio::yield_context Yield) {
  auto Body = parseJson(Request.body()).value_or(json::object());
  std::uint64_t Tokens =
      std::min(Body.value("max_tokens", DefaultTokens), MaxStandinTokens);
  std::uint64_t RequestTokens = Tokens + Request.body().size() / BytesPerToken;
  if (Faults.on("turn_away")) {
    sendJsonResponse(Responder, 429, "{}");
    return;
  }
  std::uint64_t AdmittedIncarnation = Incarnation;
  if (!admit(RequestTokens)) {
    Responder.abandon();
    return;
  }
  if (Request.body().find("CRASH-ME") != std::string::npos) {
    crash();
    Responder.abandon();
    return;
  }
  stream(Request, Tokens, Responder, Yield);
  releaseLoad(RequestTokens, AdmittedIncarnation);
}

void engine_standin::stream(const http_request &Request, std::uint64_t Tokens,
                            http_responder &Responder,
                            boost::asio::yield_context Yield) {
  std::uint64_t AdmittedIncarnation = Incarnation;
  std::string Attempt = Request.headers().get("X-Request-Id");
  static const json::json_pointer PromptPath("/messages/0/content");
  std::string Prompt = parseJson(Request.body())
                           .value_or(json::object())
                           .value(PromptPath, std::string());
  bool Good = true;
  {
    absl::MutexLock Lock(&Mutex);
    // Good and bad answers are spread evenly and deterministically.
    double Quality = Options.Quality;
    Good =
        static_cast<std::uint64_t>(static_cast<double>(Started) * Quality) >
        static_cast<std::uint64_t>(static_cast<double>(Started - 1) * Quality);
    // crossed: each request gets the answer to the previous request.
    std::swap(Prompt, LastPrompt);
    std::swap(Attempt, LastAttempt);
    if (!Faults.on("crossed")) {
      Prompt = LastPrompt;
      Attempt = LastAttempt;
    }
  }
  awaitTime(Yield, milliseconds(static_cast<int>(Faults.get("first_ms"))));
  Responder.begin(200,
                  http_headers().with("Content-Type", "text/event-stream"));
  auto Event = [&](const json &Choices, const json &Usage) {
    json Json = {{"id", "chatcmpl-" + Attempt},
                 {"object", "chat.completion.chunk"},
                 {"model", Options.Version},
                 {"choices", Choices}};
    if (!Usage.is_null())
      Json["usage"] = Usage;
    return Responder.write("data: " + Json.dump() + "\n\n");
  };
  for (std::uint64_t Index = 0; Index < Tokens; ++Index) {
    bool Cut = Faults.get("truncate_at") == static_cast<double>(Index + 1);
    if (Incarnation != AdmittedIncarnation || Cut) {
      Responder.abandon();
      return;
    }
    if (Faults.get("silent_at") == static_cast<double>(Index + 1))
      awaitTime(Yield, seconds(60));
    json Delta = {{"content", pieceText(Index, Good, Prompt)}};
    if (!Event({{{"index", 0}, {"delta", Delta}, {"finish_reason", nullptr}}},
               nullptr))
      return;
    awaitTime(Yield, milliseconds(static_cast<int>(Faults.get("token_ms"))));
  }
  if (Faults.on("no_end")) {
    Responder.end();
    return;
  }
  Event({{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}},
        nullptr);
  Event(json::array(),
        {{"prompt_tokens", Request.body().size() / BytesPerToken},
         {"completion_tokens", Tokens}});
  if (!Responder.write("data: [DONE]\n\n") || !Responder.end())
    return;
  absl::MutexLock Lock(&Mutex);
  ++Completed;
  if (!Warm && ++CompletionsSinceCold >= WarmUpCompletions)
    Warm = true;
}

void engine_standin::sendLoadReport(http_responder &Responder) {
  json Json;
  {
    absl::MutexLock Lock(&Mutex);
    Json = {{"warm", Warm},
            {"held", {{"requests", Running}, {"tokens", TokensInUse}}}};
    if (Faults.on("load_frozen") && !FrozenReport.is_null())
      Json = FrozenReport;
    FrozenReport = Json;
  }
  sendJsonResponse(Responder, 200, Json.dump());
}

void engine_standin::sendStatistics(http_responder &Responder) {
  json Json;
  {
    absl::MutexLock Lock(&Mutex);
    Json = {{"started", Started},
            {"completed", Completed},
            {"crashes", Crashes},
            {"max_running", MaxRunning},
            {"max_tokens", MaxTokens},
            {"max_running_cold", MaxRunningCold},
            {"warm", Warm},
            {"loaded", Loaded},
            {"fence", Fence}};
  }
  sendJsonResponse(Responder, 200, Json.dump());
}

/// POST /orders: stores the order to load a version and its fencing number.
/// With honour_fencing, an order with an older number is refused with 409.
void engine_standin::order(const http_request &Request,
                           http_responder &Responder) {
  auto Body = parseJson(Request.body()).value_or(json::object());
  std::uint64_t NewFence = Body.value("fence", std::uint64_t(0));
  bool StaleFence = false;
  {
    absl::MutexLock Lock(&Mutex);
    StaleFence = Faults.on("honour_fencing") && NewFence < Fence;
    if (!StaleFence) {
      Fence = std::max(Fence, NewFence);
      Loaded = Body.value("load", json());
    }
  }
  sendJsonResponse(Responder, StaleFence ? 409 : 200, "{}");
}

void engine_standin::handle(const http_request &Request,
                            http_responder &Responder,
                            boost::asio::yield_context Yield) {
  if (Faults.handle(Request, Responder))
    return;
  if (Request.path() == "/stats") {
    sendStatistics(Responder);
    return;
  }
  if (restarting()) {
    Responder.abandon();
    return;
  }
  if (Request.path() == "/load")
    sendLoadReport(Responder);
  else if (Request.path() == "/orders")
    order(Request, Responder);
  else
    complete(Request, Responder, Yield);
}

std::unique_ptr<http_handler>
bluebellkeel::makeEngineStandin(const engine_options &Options) {
  return std::make_unique<engine_standin>(Options);
}
