#include "Support/SeededRandom.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "bluebellkeel/Policy.h"
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::uint64_t, seed, 20261204, "seed of the run");
ABSL_FLAG(int, requests, 20000, "requests of the run");
ABSL_FLAG(int, rating_lag, 200, "requests until a rating arrives");
ABSL_FLAG(double, rated_share, 0.2, "share of answers that are rated");

using namespace bluebellkeel;

// Simulates the version planners with a fixed true quality of each version and
// prints, as CSV, the quality, the cost per request and the number of requests
// sent to versions that are being rolled in.

namespace {

struct simulated_version {
  const char *Name;
  const char *Stage;
  double Cost;
  double ExpectedQuality;
  double TrueQuality;
};

struct scenario {
  const char *Name;
  double Target;
  std::vector<simulated_version> Versions;
};

struct result {
  double Cost = 0;
  double Good = 0;
  int Exposed = 0;
  int Requests = 0;
};

routing_settings settingsOf(const scenario &Scenario) {
  settings_state::value_map Values;
  setting_value::text_list Names;
  auto Put = [&](const std::string &Path, setting_value::variant Value) {
    Values[*settings_path::parse(Path)] = setting_value(std::move(Value));
  };
  for (const auto &Version : Scenario.Versions) {
    std::string Path = std::string("/t/versions/") + Version.Name;
    Names.emplace_back(Version.Name);
    Put(Path + "/stage", std::string(Version.Stage));
    Put(Path + "/cost", Version.Cost);
    Put(Path + "/quality", Version.ExpectedQuality);
    Put(Path + "/share", 0.2);
  }
  Put("/t/accounts/a/versions", Names);
  Put("/t/accounts/a/quality-target", Scenario.Target);
  return routing_settings(settings_state(log_offset(1), Values, {}));
}

const simulated_version &versionOf(const scenario &Scenario,
                                   const version_id &Id) {
  for (const auto &Version : Scenario.Versions) {
    if (Id.text() == Version.Name)
      return Version;
  }
  return Scenario.Versions.front();
}

result run(const scenario &Scenario, version_planner &Planner,
           quality_tracker &Tracker, random_source &Random) {
  routing_settings Settings = settingsOf(Scenario);
  route_query Query(Settings, *Settings.account(account_id("a")), "auto",
                    std::nullopt);
  std::deque<std::pair<version_id, bool>> PendingRatings;
  auto Lag = static_cast<std::size_t>(absl::GetFlag(FLAGS_rating_lag) *
                                      absl::GetFlag(FLAGS_rated_share));
  result Result;
  for (int Index = 0; Index < absl::GetFlag(FLAGS_requests); ++Index) {
    auto Plan = Planner.plan(Query);
    if (!Plan)
      continue;
    const auto &Version = versionOf(Scenario, Plan->steps().front().version());
    bool Good = Random.uniformReal() < Version.TrueQuality;
    ++Result.Requests;
    Result.Cost += Version.Cost;
    Result.Good += Good ? 1 : 0;
    Result.Exposed += std::string(Version.Stage) == "rolling" ? 1 : 0;
    if (Random.uniformReal() < absl::GetFlag(FLAGS_rated_share))
      PendingRatings.emplace_back(version_id(Version.Name), Good);
    if (PendingRatings.size() > Lag) {
      Tracker.rate(PendingRatings.front().first, PendingRatings.front().second);
      PendingRatings.pop_front();
    }
  }
  return Result;
}

void compare(const scenario &Scenario) {
  for (const char *Name : {"cheapest-at-target", "always-best",
                           "always-cheapest", "round-robin"}) {
    seeded_random Random(absl::GetFlag(FLAGS_seed));
    quality_tracker Tracker(instance_id("i"));
    std::unique_ptr<version_planner> Planner =
        std::make_unique<cheapest_at_target_planner>(Tracker, Random);
    if (Name == std::string("always-best"))
      Planner = std::make_unique<always_best_planner>();
    if (Name == std::string("always-cheapest"))
      Planner = std::make_unique<always_cheapest_planner>();
    if (Name == std::string("round-robin"))
      Planner = std::make_unique<round_robin_planner>();
    result Result = run(Scenario, *Planner, Tracker, Random);
    double Count = Result.Requests;
    std::cout << Scenario.Name << "," << Name << "," << Scenario.Target << ","
              << Result.Good / Count << ","
              << (Result.Good / Count >= Scenario.Target ? "met" : "missed")
              << "," << Result.Cost / Count << "," << Result.Exposed << "\n";
  }
}

} // namespace

int main(int Argc, char **Argv) {
  absl::ParseCommandLine(Argc, Argv);
  std::cout << "scenario,planner,target,quality,verdict,cost_per_request,"
               "exposed_to_rolling\n";
  compare({"harrow: cheap one good enough",
           0.80,
           {{"lace@1", "active", 400, 0.85, 0.85},
            {"lace@2", "active", 1500, 0.95, 0.95}}});
  compare({"harrow: cheap one worse than expected",
           0.80,
           {{"lace@1", "active", 400, 0.85, 0.60},
            {"lace@2", "active", 1500, 0.95, 0.95}}});
  compare({"beaulac: high target",
           0.93,
           {{"plieuse@1", "active", 500, 0.85, 0.85},
            {"plieuse@2", "active", 900, 0.95, 0.94},
            {"plieuse@3", "active", 1800, 0.98, 0.98}}});
  compare({"beaulac: bad version rolled in",
           0.80,
           {{"plieuse@1", "active", 500, 0.85, 0.85},
            {"plieuse@2", "rolling", 300, 0.90, 0.40}}});
  compare({"beaulac: worse by a fifth rolled in",
           0.80,
           {{"plieuse@1", "active", 500, 0.85, 0.85},
            {"plieuse@2", "rolling", 300, 0.90, 0.70}}});
  compare({"beaulac: three, middle one good enough",
           0.90,
           {{"plieuse@1", "active", 500, 0.85, 0.85},
            {"plieuse@2", "active", 900, 0.95, 0.94},
            {"plieuse@3", "active", 1800, 0.98, 0.98}}});
  compare({"beaulac: good version rolled in",
           0.80,
           {{"plieuse@1", "active", 500, 0.85, 0.85},
            {"plieuse@2", "rolling", 300, 0.90, 0.90}}});
  return 0;
}
