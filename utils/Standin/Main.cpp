#include "ServeStandin.h"
#include "Standins.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(std::string, version, "model@1", "engine: version that it serves");
ABSL_FLAG(std::uint32_t, cold, 2,
          "engine: maximum concurrent requests when cold");
ABSL_FLAG(std::uint32_t, warm, 8,
          "engine: maximum concurrent requests when warm");
ABSL_FLAG(std::uint64_t, tokens, 32000, "engine: maximum tokens in use");
ABSL_FLAG(bool, start_warm, false, "engine: warm from the start");
ABSL_FLAG(double, quality, 1.0, "engine: share of good answers");

using namespace bluebellkeel;

static std::unique_ptr<http_handler> makeStandin(const std::string &Kind) {
  if (Kind == "log")
    return makeLogStandin();
  if (Kind == "list")
    return makeListStandin();
  if (Kind == "service")
    return makeServiceStandin();
  if (Kind == "rater")
    return makeRaterStandin();
  if (Kind != "engine")
    return nullptr;
  engine_options Options;
  Options.Version = absl::GetFlag(FLAGS_version);
  Options.ColdRequests = absl::GetFlag(FLAGS_cold);
  Options.WarmRequests = absl::GetFlag(FLAGS_warm);
  Options.Tokens = absl::GetFlag(FLAGS_tokens);
  Options.StartWarm = absl::GetFlag(FLAGS_start_warm);
  Options.Quality = absl::GetFlag(FLAGS_quality);
  return makeEngineStandin(Options);
}

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(
      "bluebellkeel-standin log|list|engine|service|rater --listen=IP:PORT");
  auto Words = absl::ParseCommandLine(Argc, Argv);
  return serveStandin(Words.size() == 2 ? makeStandin(Words[1]) : nullptr,
                      absl::GetFlag(FLAGS_listen));
}
