#include "RunnerStandin.h"
#include "StoreStandin.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "bluebellkeel/Http.h"
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(std::string, id, "runner", "runner: the id that it registers under");

ABSL_FLAG(std::string, ledger, "",
          "runner: file to which each request is added that it begins to run");
ABSL_FLAG(std::uint32_t, work_ms, 0,
          "runner: how long a request takes that is no stream");

using namespace bluebellkeel;

static std::unique_ptr<http_handler> makeStandin(const std::string &Kind) {
  if (Kind == "store")
    return std::make_unique<store_standin>();
  if (Kind == "runner")
    return std::make_unique<runner_standin>(
        upstream_id(absl::GetFlag(FLAGS_id)), absl::GetFlag(FLAGS_ledger),
        milliseconds(absl::GetFlag(FLAGS_work_ms)));
  return nullptr;
}

int main(int Argc, char **Argv) {
  constexpr int BadUsage = 2;
  constexpr std::size_t MaxConnections = 1000;
  constexpr std::size_t MaxBodyBytes = 4UL * 1024 * 1024;
  constexpr milliseconds Write{5000};
  absl::SetProgramUsageMessage(
      "bluebellkeel-platform-standin store|runner --listen=IP:PORT [--id=ID]");
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
                     http_limits(MaxConnections, MaxBodyBytes, Write));
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
