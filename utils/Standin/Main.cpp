#include "Standins.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http.h"
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(std::string, version, "model@1", "engine: version it runs");
ABSL_FLAG(std::uint32_t, cold, 2, "engine: requests it bears when cold");
ABSL_FLAG(std::uint32_t, warm, 8, "engine: requests it bears when warm");
ABSL_FLAG(std::uint64_t, tokens, 32000, "engine: tokens it bears");
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
  constexpr int BadUsage = 2;
  constexpr std::size_t MaxConnections = 4000;
  constexpr std::size_t MaxBodyBytes = 16UL * 1024 * 1024;
  absl::SetProgramUsageMessage(
      "bluebellkeel-standin log|list|engine|service|rater --listen=IP:PORT");
  auto Words = absl::ParseCommandLine(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  auto Address = network_address::parse(absl::GetFlag(FLAGS_listen));
  auto Standin = Words.size() == 2 ? makeStandin(Words[1]) : nullptr;
  if (!Standin || !Address) {
    std::cerr << absl::ProgramUsageMessage() << "\n";
    return BadUsage;
  }
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  thread_pool Pool(2);
  http_server Server(Pool, *Standin,
                     http_limits(MaxConnections, MaxBodyBytes, seconds(30)));
  auto Listening = Server.listen(*Address);
  if (!Listening) {
    std::cerr << Listening.error() << "\n";
    return BadUsage;
  }
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Pool.stop();
  return 0;
}
