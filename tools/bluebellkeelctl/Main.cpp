#include "AdminClient.h"
#include "Output.h"
#include "RequestTimelineCommand.h"
#include "SettingsCommands.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_split.h"
#include <csignal>

ABSL_FLAG(std::string, instances, "", "instances to contact, IP:PORT,IP:PORT");
ABSL_FLAG(std::string, key, "", "key of the operator team");
ABSL_FLAG(std::string, output, "human", "human or json");
ABSL_FLAG(std::int64_t, base, -1, "revision that the change is based on");
ABSL_FLAG(std::string, id, "", "id of the change; reuse it to resend");

using namespace bluebellkeel;

static constexpr const char *Usage =
    "bluebellkeelctl --instances=IP:PORT[,...] --key=TEAM-KEY COMMAND\n"
    "  settings get PATH | put PATH VALUE | put-file FILE | remove PATH\n"
    "  settings diff FILE | history | validate FILE\n"
    "  instances | upstreams | versions | addresses | bills [FROM]\n"
    "  versions roll-in VERSION | activate VERSION | hold VERSION |\n"
    "           withdraw VERSION\n"
    "  data-centre out NAME | in NAME\n"
    "  explain ACCOUNT [MODEL]\n"
    "bluebellkeelctl story REQUEST-ID LOG-FILE...\n";

using word_list = std::vector<std::string>;

static int badUsage(const output &Output) {
  Output.printError(std::string("usage:\n") + Usage);
  return static_cast<int>(exit_code::BadUsage);
}

static int runSettings(const word_list &Words,
                       const settings_commands &Settings,
                       const output &Output) {
  std::size_t Count = Words.size();
  std::string Verb = Count > 1 ? Words[1] : "";
  if (Verb == "history" && Count == 2)
    return Settings.history();
  if (Verb == "get" && Count == 3)
    return Settings.get(Words[2]);
  if (Verb == "put" && Count == 4)
    return Settings.put(Words[2], Words[3], /*DryRun=*/false);
  if (Verb == "put-file" && Count == 3)
    return Settings.putFile(Words[2], /*DryRun=*/false);
  if (Verb == "validate" && Count == 3)
    return Settings.putFile(Words[2], /*DryRun=*/true);
  if (Verb == "remove" && Count == 3)
    return Settings.remove(Words[2]);
  if (Verb == "diff" && Count == 3)
    return Settings.diff(Words[2]);
  return badUsage(Output);
}

static int runVersions(const word_list &Words, const admin_client &Client,
                       const settings_commands &Settings,
                       const output &Output) {
  if (Words.size() == 1)
    return Output.show(Client.get("/admin/versions"), "versions");
  if (Words.size() != 3)
    return badUsage(Output);
  static const std::map<std::string, std::string> Stages = {
      {"roll-in", "rolling"},
      {"activate", "active"},
      {"hold", "held"},
      {"withdraw", "withdrawn"}};
  auto Stage = Stages.find(Words[1]);
  if (Stage == Stages.end())
    return badUsage(Output);
  return Settings.putVersion(Words[2], "stage", Stage->second);
}

static int run(const word_list &Words, const admin_client &Client,
               const settings_commands &Settings, const output &Output) {
  const std::string &Command = Words[0];
  std::size_t Count = Words.size();
  if (Command == "settings")
    return runSettings(Words, Settings, Output);
  if (Command == "versions")
    return runVersions(Words, Client, Settings, Output);
  if (Command == "instances" && Count == 1)
    return Output.show(Client.get("/admin/instances"), "instances");
  if (Command == "upstreams" && Count == 1)
    return Output.show(Client.get("/admin/upstreams"), "upstreams");
  if (Command == "addresses" && Count == 1)
    return Output.show(Client.get("/v1/addresses"), "addresses");
  if (Command == "bills" && Count <= 2) {
    std::string From = Count == 2 ? Words[1] : "1";
    return Output.show(Client.get("/admin/bills?from=" + From), "bills");
  }
  if (Command == "data-centre" && Count == 3 &&
      (Words[1] == "out" || Words[1] == "in"))
    return Settings.put("/platform/data-centres/" + Words[2] + "/state",
                        Words[1], /*DryRun=*/false);
  if (Command == "explain" && (Count == 2 || Count == 3)) {
    std::string Target = "/admin/explain?account=" + Words[1];
    if (Count == 3)
      Target += "&model=" + Words[2];
    return Output.show(Client.get(Target), "steps");
  }
  return badUsage(Output);
}

static std::vector<network_address> instancesFromFlag() {
  std::vector<network_address> Result;
  for (absl::string_view Text :
       absl::StrSplit(absl::GetFlag(FLAGS_instances), ',')) {
    auto Address =
        network_address::parse(std::string_view(Text.data(), Text.size()));
    if (Address)
      Result.push_back(*Address);
  }
  return Result;
}

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(Usage);
  auto Arguments = absl::ParseCommandLine(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  word_list Words(Arguments.begin() + 1, Arguments.end());
  std::string OutputFormat = absl::GetFlag(FLAGS_output);
  output Output(OutputFormat == "json");
  constexpr std::size_t MinTimelineWords = 3;
  if (Words.size() >= MinTimelineWords && Words[0] == "story")
    return request_timeline_command(Output).run(
        Words[1], word_list(Words.begin() + 2, Words.end()));
  auto Instances = instancesFromFlag();
  if (Words.empty() || Instances.empty() ||
      (OutputFormat != "json" && OutputFormat != "human"))
    return badUsage(Output);
  admin_client Client(Instances, absl::GetFlag(FLAGS_key));
  std::optional<std::uint64_t> Base;
  if (absl::GetFlag(FLAGS_base) >= 0)
    Base = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_base));
  settings_commands Settings(Client, Output, Base, absl::GetFlag(FLAGS_id));
  return run(Words, Client, Settings, Output);
}
