#include "SampleLists.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Policy.h"
#include "bluebellkeel/Relay.h"
#include "bluebellkeel/Settings.h"
#include <benchmark/benchmark.h>

using namespace bluebellkeel;

// Benchmarks of the decisions that an instance makes for each request.

namespace {
class noop_capacity_listener final : public capacity_listener {
public:
  void onCapacityChanged() override {}
};
} // namespace

static settings_state sampleState(int Versions, int Accounts) {
  settings_state::value_map Values;
  setting_value::text_list Names;
  auto Put = [&](const std::string &Path, setting_value::variant Value) {
    Values[*settings_path::parse(Path)] = setting_value(std::move(Value));
  };
  for (int Index = 0; Index < Versions; ++Index) {
    std::string Name = "model@" + std::to_string(Index);
    Names.push_back(Name);
    Put("/t/versions/" + Name + "/stage", std::string("active"));
    Put("/t/versions/" + Name + "/cost", 100.0 * (1 + Index));
    Put("/t/versions/" + Name + "/quality", 0.7 + 0.02 * Index);
  }
  for (int Index = 0; Index < Accounts; ++Index) {
    std::string Path = "/t/accounts/account-" + std::to_string(Index);
    Put(Path + "/api-key", "key-" + std::to_string(Index));
    Put(Path + "/versions", Names);
    Put(Path + "/quality-target", 0.75);
  }
  return settings_state(log_offset(1000), Values, {});
}

static void planVersions(benchmark::State &State) {
  routing_settings Settings(sampleState(static_cast<int>(State.range(0)), 10));
  quality_tracker Tracker(instance_id("i"));
  system_random Random;
  cheapest_at_target_planner Planner(Tracker, Random);
  route_query Query(Settings, *Settings.account(account_id("account-1")),
                    "auto", std::nullopt);
  for (auto Step : State)
    benchmark::DoNotOptimize(Planner.plan(Query));
}
BENCHMARK(planVersions)->Arg(2)->Arg(7)->Arg(14)->Arg(28);

static void findCandidates(benchmark::State &State) {
  system_clock Clock;
  noop_capacity_listener Listener;
  upstream_directory Directory;
  Directory.replace(sampleUpstreams(static_cast<int>(State.range(0))));
  grant_holder Grants(instance_id("i"), Clock, Listener);
  health_tracker Health(Clock);
  candidate_finder Finder(Directory, Grants, Health,
                          data_centre_id("centre-1"));
  routing_settings Settings(sampleState(7, 10));
  affinity_chooser Chooser;
  for (auto Step : State)
    benchmark::DoNotOptimize(Finder.find(pool_id("model@3"), Settings, {},
                                         Chooser, fingerprint("prefix")));
}
BENCHMARK(findCandidates)->Arg(14)->Arg(185)->Arg(740)->Arg(1480);

/// Applies one accepted change, by the number of client accounts.
static void applyChange(benchmark::State &State) {
  settings_state Start = sampleState(7, static_cast<int>(State.range(0)));
  setting_edit Edit(*settings_path::parse("/t/versions/model@1/cost"),
                    setting_value(5.0));
  for (auto Step : State) {
    settings_store Store;
    Store.replaceIfNewer(Start);
    Store.apply(log_offset(1001),
                settings_change("c", team_id("t"), log_offset(), {Edit}));
    benchmark::DoNotOptimize(Store.routing());
  }
}
BENCHMARK(applyChange)->Arg(10)->Arg(100)->Arg(1000);

static void checkSessionToken(benchmark::State &State) {
  hmac_signer Signer("a key for benchmarks");
  session_codec Codec(Signer);
  std::string Token =
      Codec.encode(session(account_id("account-1"), version_id("model@1")));
  for (auto Step : State)
    benchmark::DoNotOptimize(Codec.decode(Token));
}
BENCHMARK(checkSessionToken);
