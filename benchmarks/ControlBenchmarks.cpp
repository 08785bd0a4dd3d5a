#include "SampleLists.h"
#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Membership.h"
#include "bluebellkeel/Peer.h"
#include "bluebellkeel/Platform.h"
#include "bluebellkeel/Upstream.h"
#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

// Benchmarks of control work that does not depend on the request load, by the
// number of instances, upstreams or entries in a message.

static void selectHeartbeatPeers(benchmark::State &State) {
  auto Listed = sampleInstances(static_cast<int>(State.range(0)));
  for (auto Step : State)
    benchmark::DoNotOptimize(selectPeers(instance_id("instance-0"), Listed));
}
BENCHMARK(selectHeartbeatPeers)->Arg(9)->Arg(110)->Arg(330)->Arg(660);

static void selectCallerAddresses(benchmark::State &State) {
  auto Listed = sampleInstances(static_cast<int>(State.range(0)));
  system_random Random;
  auto Now = std::chrono::steady_clock::now();
  instance_id Self("instance-0");
  auto Statuses = sampleStatuses(selectPeers(Self, Listed), Now);
  address_selector Selector(Self, freshness_evaluator(freshness_rules()));
  for (auto Step : State)
    benchmark::DoNotOptimize(
        Selector.selectAddresses(Now, true, Listed, Statuses, {}, Random));
}
BENCHMARK(selectCallerAddresses)->Arg(9)->Arg(110)->Arg(330)->Arg(660);

static void evaluateFreshness(benchmark::State &State) {
  auto Now = std::chrono::steady_clock::now();
  auto Peers = sampleInstances(static_cast<int>(State.range(0)));
  auto Statuses = sampleStatuses(Peers, Now);
  freshness_evaluator Evaluator{freshness_rules()};
  settings_position Position(log_offset(123456), Now - seconds(1));
  for (auto Step : State)
    benchmark::DoNotOptimize(Evaluator.evaluate(Now, Position, Statuses, 8));
}
BENCHMARK(evaluateFreshness)->Arg(2)->Arg(4)->Arg(8)->Arg(16);

/// Finds the owner of one upstream, by the number of instances.
static void findOwner(benchmark::State &State) {
  std::vector<instance_id> Candidates;
  for (const auto &Record : sampleInstances(static_cast<int>(State.range(0))))
    Candidates.push_back(Record.id());
  for (auto Step : State)
    benchmark::DoNotOptimize(ownerOf("upstream-17", Candidates));
}
BENCHMARK(findOwner)->Arg(9)->Arg(110)->Arg(330)->Arg(660);

/// Issues one grant, by the number of holders with grants.
static void issueGrant(benchmark::State &State) {
  auto Now = std::chrono::steady_clock::now();
  auto Record = sampleUpstreams(1).front();
  grant_issuer Issuer{grant_rules()};
  for (int Round = 0; Round < 10; ++Round) {
    Issuer.setOwned({Record}, Now);
    Issuer.noteReport(Record.id(), load_report(true, {}), Now);
    Now += seconds(1);
  }
  std::vector<grant_request> Requests;
  Requests.reserve(static_cast<std::size_t>(State.range(0)));
  for (int Index = 0; Index < State.range(0); ++Index)
    Requests.emplace_back(instance_id("h" + std::to_string(Index)), Record.id(),
                          load_amount(), load_amount(1, 100));
  std::size_t NextIndex = 0;
  for (auto Step : State)
    benchmark::DoNotOptimize(
        Issuer.issue(Requests[NextIndex++ % Requests.size()], Now));
}
BENCHMARK(issueGrant)->Arg(4)->Arg(16)->Arg(64)->Arg(256);

static void codecRoundTrip(benchmark::State &State, const peer_body &Body) {
  hmac_signer Signer("a key for benchmarks");
  peer_codec Codec(Signer);
  auto Now = std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
  peer_envelope Envelope(instance_id("instance-101"),
                         instance_id("instance-202"), 123456, Now, Body);
  std::size_t Bytes = 0;
  for (auto Step : State) {
    std::string Frame = Codec.encode(Envelope);
    Bytes = Frame.size();
    benchmark::DoNotOptimize(Codec.decode(Frame, Envelope.to(), Now));
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
}

static void heartbeatQueryMessage(benchmark::State &State) {
  codecRoundTrip(State, heartbeat_query());
}
BENCHMARK(heartbeatQueryMessage);

/// By the number of rated versions.
static void heartbeatAnswerMessage(benchmark::State &State) {
  heartbeat_answer::rating_map Ratings;
  for (int Index = 0; Index < State.range(0); ++Index)
    Ratings[version_id("model@" + std::to_string(Index))] =
        quality_counts(12345, 678);
  codecRoundTrip(
      State,
      heartbeat_answer(sampleHeartbeat(instance_id("instance-101")), Ratings));
}
BENCHMARK(heartbeatAnswerMessage)->Arg(0)->Arg(2)->Arg(7)->Arg(14);

/// By the number of upstreams in one request for grants.
static void grantAskMessage(benchmark::State &State) {
  std::vector<grant_request> Requests;
  Requests.reserve(static_cast<std::size_t>(State.range(0)));
  for (int Index = 0; Index < State.range(0); ++Index)
    Requests.emplace_back(instance_id("instance-101"),
                          upstream_id("upstream-" + std::to_string(Index)),
                          load_amount(3, 4000), load_amount(4, 6000));
  codecRoundTrip(State, grant_ask(std::move(Requests)));
}
BENCHMARK(grantAskMessage)->Arg(1)->Arg(4)->Arg(16)->Arg(64);

static void grantReplyMessage(benchmark::State &State) {
  std::vector<grant> Grants;
  Grants.reserve(static_cast<std::size_t>(State.range(0)));
  for (int Index = 0; Index < State.range(0); ++Index)
    Grants.emplace_back(upstream_id("upstream-" + std::to_string(Index)),
                        load_amount(4, 6000), seconds(2));
  codecRoundTrip(State, grant_reply(std::move(Grants)));
}
BENCHMARK(grantReplyMessage)->Arg(1)->Arg(4)->Arg(16)->Arg(64);

static std::string listText(int Upstreams) {
  nlohmann::json Entries = nlohmann::json::array();
  for (const auto &Record : sampleInstances(Upstreams * 330 / 740))
    Entries.push_back(toJson(Record));
  for (const auto &Record : sampleUpstreams(Upstreams))
    Entries.push_back(toJson(Record));
  return nlohmann::json{{"instances", std::move(Entries)}}.dump();
}

/// Parses the platform's list, by the number of upstreams.
static void parseList(benchmark::State &State) {
  std::string Text = listText(static_cast<int>(State.range(0)));
  for (auto Step : State)
    benchmark::DoNotOptimize(parsePlatformList(Text));
  State.counters["bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(parseList)->Arg(14)->Arg(185)->Arg(740)->Arg(1480);

/// Hashes the list's text, by which an unchanged list is detected.
static void compareList(benchmark::State &State) {
  std::string Text = listText(static_cast<int>(State.range(0)));
  for (auto Step : State)
    benchmark::DoNotOptimize(stableHash(Text));
}
BENCHMARK(compareList)->Arg(14)->Arg(185)->Arg(740)->Arg(1480);
