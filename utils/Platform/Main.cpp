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
ABSL_FLAG(std::uint32_t, work_ms, 0,
          "runner: duration of a request that is not a stream");

using namespace bluebellkeel;

static std::unique_ptr<http_handler> makeStandin(const std::string &Kind) {
  if (Kind == "store")
    return std::make_unique<store_standin>();
  if (Kind == "runner")
    return std::make_unique<runner_standin>(
        upstream_id(absl::GetFlag(FLAGS_id)), absl::GetFlag(FLAGS_ledger),
        absl::GetFlag(FLAGS_arrivals),
        milliseconds(absl::GetFlag(FLAGS_work_ms)));
  return nullptr;
}

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(
      "bluebellkeel-platform-standin store|runner --listen=IP:PORT [--id=ID]");
  auto Words = absl::ParseCommandLine(Argc, Argv);
  return serveStandin(Words.size() == 2 ? makeStandin(Words[1]) : nullptr,
                      absl::GetFlag(FLAGS_listen));
}
