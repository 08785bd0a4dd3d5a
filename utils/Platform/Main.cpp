#include "RunnerStandin.h"
#include "ServeStandin.h"
#include "StoreStandin.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(std::string, id, "runner", "runner: id under which it is registered");

ABSL_FLAG(std::string, ledger, "",
          "runner: file that gets a line for each request that it runs");
ABSL_FLAG(std::string, arrivals, "",
          "runner: file that gets a line for each request that arrives");
ABSL_FLAG(
    std::string, ends, "",
    "runner: file that gets a line for each request whose work has ended");
ABSL_FLAG(std::uint32_t, work_ms, 0,
          "runner: duration of a request that is not a stream; its mean with "
          "--work_spread");
ABSL_FLAG(double, work_spread, 0,
          "runner: standard deviation of the logarithm of the duration");
ABSL_FLAG(double, work_slow_share, 0, "runner: share of slow requests");
ABSL_FLAG(double, work_slow_factor, 1,
          "runner: duration of a slow request by that of others");
ABSL_FLAG(std::uint32_t, work_max_ms, 60000, "runner: longest duration");
ABSL_FLAG(int, events, 20, "runner: number of events of a stream");

using namespace bluebellkeel;

static runner_options runnerOptions() {
  runner_options Options;
  Options.RunLog = absl::GetFlag(FLAGS_ledger);
  Options.ArrivalLog = absl::GetFlag(FLAGS_arrivals);
  Options.EndLog = absl::GetFlag(FLAGS_ends);
  work_time::fields Work;
  Work.MeanMs = absl::GetFlag(FLAGS_work_ms);
  Work.Spread = absl::GetFlag(FLAGS_work_spread);
  Work.SlowShare = absl::GetFlag(FLAGS_work_slow_share);
  Work.SlowFactor = absl::GetFlag(FLAGS_work_slow_factor);
  Work.MaxMs = absl::GetFlag(FLAGS_work_max_ms);
  Options.WorkTime = work_time(Work);
  Options.Events = absl::GetFlag(FLAGS_events);
  return Options;
}

static std::unique_ptr<http_handler> makeStandin(const std::string &Kind) {
  if (Kind == "store")
    return std::make_unique<store_standin>();
  if (Kind == "runner")
    return std::make_unique<runner_standin>(
        upstream_id(absl::GetFlag(FLAGS_id)), runnerOptions());
  return nullptr;
}

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(
      "bluebellkeel-platform-standin store|runner --listen=IP:PORT [--id=ID]");
  auto Words = absl::ParseCommandLine(Argc, Argv);
  return serveStandin(Words.size() == 2 ? makeStandin(Words[1]) : nullptr,
                      absl::GetFlag(FLAGS_listen));
}
