#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "bluebellkeel/Runtime.h"
#include "bluebellkeel/Startup.h"
#include "bluebellkeel/Telemetry.h"
#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string, settings, "", "settings file, JSON with comments");
ABSL_FLAG(bool, check, false, "only check the settings file");

using namespace bluebellkeel;

/// Interval at which a shutdown checks for a second signal.
static constexpr long SignalPollNanoseconds = 100000000;

/// Exit codes of the process.
enum exit_code {
  Success = 0,
  BadSettings = 2,
  CannotStart = 3,
  CutRequests = 4
};

static std::optional<startup_settings> readFile(const std::string &Path) {
  return readSettingsFile<startup_settings>(Path, readStartupSettings,
                                            std::cerr);
}

static void blockSignals(sigset_t &Signals) {
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

static int serve(const startup_settings &Settings, sigset_t &Signals) {
  instance_runtime Runtime(Settings);
  auto Started = Runtime.start();
  if (!Started) {
    std::cerr << "cannot start: " << Started.error() << "\n";
    return CannotStart;
  }
  int Signal = 0;
  sigwait(&Signals, &Signal);
  std::atomic<bool> ShutdownDone{false};
  std::size_t CutCount = 0;
  std::thread Shutdown([&] {
    CutCount = Runtime.shutDown();
    ShutdownDone = true;
  });
  // A second signal cuts the requests that are still running.
  const timespec PollInterval = {0, SignalPollNanoseconds};
  while (!ShutdownDone) {
    if (sigtimedwait(&Signals, nullptr, &PollInterval) > 0)
      Runtime.expediteShutdown();
  }
  Shutdown.join();
  return CutCount == 0 ? Success : CutRequests;
}

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage("bluebellkeeld --settings=FILE [--check]");
  absl::ParseCommandLine(Argc, Argv);
  sigset_t Signals;
  blockSignals(Signals);
  auto Settings = readFile(absl::GetFlag(FLAGS_settings));
  if (!Settings)
    return BadSettings;
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << "settings are good\n";
    return Success;
  }
  setUpLog(Settings->LogLevel);
  return serve(*Settings, Signals);
}
