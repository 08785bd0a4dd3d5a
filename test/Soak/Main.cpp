#include "SoakRun.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1, "seed from which the faults are drawn");
ABSL_FLAG(std::string, folder, "",
          "folder for logs, kept after a violation (a new one if empty)");

ABSL_FLAG(std::string, gateway, GATEWAY_PATH, "gateway program to test");

using namespace bluebellkeel;

static std::string folderFor(std::uint64_t Seed) {
  std::string Path = absl::GetFlag(FLAGS_folder);
  if (Path.empty())
    Path = (std::filesystem::temp_directory_path() /
            ("bluebellkeel-soak-" + std::to_string(Seed)))
               .string();
  std::filesystem::remove_all(Path);
  std::filesystem::create_directories(Path);
  return Path;
}

static std::atomic<bool> Cancelled{false};

static void onCancelSignal(int /*Signal*/) { Cancelled = true; }

/// Runs one seed and returns the exit code. All child processes are ended on
/// return, also by an exception.
static int runSeed(std::uint64_t Seed, const std::string &Folder) {
  soak_run Run(Seed, Folder, absl::GetFlag(FLAGS_gateway), Cancelled);
  auto Violations = Run.execute();
  std::cout << "seed " << Seed << ": " << Run.requests() << " requests, "
            << Run.faults().size() << " faults, " << Violations.size()
            << " violations\n";
  if (Violations.empty()) {
    std::filesystem::remove_all(Folder);
    return 0;
  }
  for (const auto &Fault : Run.faults())
    std::cout << "  " << Fault.text() << "\n";
  constexpr std::size_t MaxPrinted = 40;
  std::size_t Printed = std::min(MaxPrinted, Violations.size());
  for (std::size_t I = 0; I < Printed; ++I)
    std::cout << "  BROKEN " << Violations[I] << "\n";
  if (Printed < Violations.size())
    std::cout << "  and " << Violations.size() - Printed << " more\n";
  std::cout << "  logs in " << Folder << "\n";
  return 1;
}

int main(int Argc, char **Argv) {
  constexpr int CannotRun = 2;
  absl::SetProgramUsageMessage(
      "Runs gateways and stand-ins as processes, injects faults from outside "
      "and checks what callers and upstreams observe.\n"
      "bluebellkeel-soak --seed=N [--folder=PATH] [--gateway=PROGRAM]");
  absl::ParseCommandLine(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, onCancelSignal);
  std::signal(SIGINT, onCancelSignal);
  std::uint64_t Seed = absl::GetFlag(FLAGS_seed);
  std::string Folder = folderFor(Seed);
  try {
    return runSeed(Seed, Folder);
  } catch (const std::exception &Fault) {
    std::cout << "seed " << Seed << " did not run: " << Fault.what() << "\n";
    return CannotRun;
  }
}
