#include "Support/ManualClock.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Peer.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace bluebellkeel;

using nlohmann::json;

namespace {

class load_board_codec_test : public testing::Test {
protected:
  std::string encode(peer_body Body) const {
    return Codec.encode(peer_envelope(instance_id("from"), instance_id("to"), 7,
                                      Clock.wallNow(), std::move(Body)));
  }
  tl::expected<peer_envelope, peer_error>
  decode(const std::string &Bytes) const {
    return Codec.decode(Bytes, instance_id("to"), Clock.wallNow());
  }
  /// Returns the result of decoding a signed message with \p Body.
  tl::expected<peer_envelope, peer_error> decodeSigned(const char *Kind,
                                                       const json &Body) const {
    json Envelope = {{"f", "from"},
                     {"t", "to"},
                     {"n", 7},
                     {"w", std::chrono::duration_cast<milliseconds>(
                               Clock.wallNow().time_since_epoch())
                               .count()},
                     {"k", Kind},
                     {"b", Body}};
    std::string Bytes;
    json::to_cbor(Envelope, Bytes);
    return decode(Signer.sign("p1|" + Bytes).substr(0, 32) + Bytes);
  }

  manual_clock Clock;
  hmac_signer Signer{"a key for tests only"};
  peer_codec Codec{Signer};
  upstream_id U{"u"};
  upstream_id V{"v"};
};

} // namespace

TEST_F(load_board_codec_test, bodies_encodedAndDecoded_areEqual) {
  std::vector<upstream_report> Reports = {
      {U, queue_report(5, 2, 1.25), milliseconds(40)},
      {V, queue_report(1, 0), milliseconds(900)}};
  peer_body Batch(load_batch(
      {load_contribution(instance_id("a"), 1700000000001, milliseconds(9),
                         {instance_load(U, 1, 2000), instance_load(V, 2, 0)}),
       load_contribution(instance_id("b"), 3, milliseconds(0), {})},
      Reports));
  peer_body Board(load_board(5, 70, {instance_load(V, 9, 70000)}, Reports));
  for (const auto &Body : {Batch, Board}) {
    auto Decoded = decode(encode(Body));
    ASSERT_TRUE(Decoded) << kindOf(Body);
    EXPECT_TRUE(Body == Decoded->body()) << kindOf(Body);
  }
}

TEST_F(load_board_codec_test, malformedBodies_areRejected) {
  json Good = {{"u", {"u"}},
               {"n", 1},
               {"c", 1},
               {"t", {0, 1, 2}},
               {"r", {0, 1, 0, 1000, 5}}};
  EXPECT_TRUE(decodeSigned("load_board", Good));
  std::vector<std::pair<const char *, json>> Changes = {
      {"t", {1, 1, 2}},
      {"t", {0, 1}},
      {"t", {0, -1, 2}},
      {"t", {0, 1, "x"}},
      {"t", {0, 2000000, 2}},
      {"r", {0, 1, 0, 1000}},
      {"r", {0, 1, 0, 1000, 1e9}},
      {"u", {7}},
      {"u", "u"},
      {"n", nullptr},
      {"u", json(std::vector<std::string>(9000, "u"))}};
  for (const auto &[Field, Value] : Changes) {
    json Bad = Good;
    Bad[Field] = Value;
    EXPECT_FALSE(decodeSigned("load_board", Bad)) << Field << Value;
  }
  json Contribution = {
      {"i", "a"}, {"n", 1}, {"a", 61000}, {"l", json::array()}};
  EXPECT_FALSE(decodeSigned(
      "load_batch",
      {{"u", json::array()}, {"c", {Contribution}}, {"r", json::array()}}));
}

/// 300 instances in groups of 25 with 700 upstreams: requests start and end
/// every 50 ms, and the messages pass as values.
TEST_F(load_board_codec_test, manyInstances_boardIsNearTheTruthAndSmall) {
  constexpr std::size_t Instances = 300;
  constexpr std::size_t Upstreams = 700;
  constexpr std::size_t Groups = 12;
  constexpr int Ticks = 60;
  std::mt19937 Random(20261206);
  std::vector<std::unique_ptr<load_tracker>> Trackers;
  std::vector<std::unique_ptr<load_contributor>> Contributors;
  for (std::size_t I = 0; I < Instances; ++I) {
    Trackers.push_back(std::make_unique<load_tracker>(Clock));
    Contributors.push_back(std::make_unique<load_contributor>(
        instance_id("instance-" + std::to_string(I)), *Trackers.back(), Clock));
  }
  std::vector<std::unique_ptr<load_collector>> Collectors;
  for (std::size_t G = 0; G < Groups; ++G)
    Collectors.push_back(std::make_unique<load_collector>(Clock));
  std::vector<upstream_id> Ids;
  for (std::size_t U = 0; U < Upstreams; ++U)
    Ids.emplace_back("upstream-" + std::to_string(U));
  std::vector<std::vector<std::size_t>> Open(Instances);
  std::vector<double> Truth(Upstreams, 0);
  std::vector<std::vector<load_contribution>> Direct(Groups);
  std::size_t LargestBoard = 0;
  double Error = 0;
  double Total = 0;
  for (int Tick = 0; Tick < Ticks; ++Tick) {
    Clock.advance(milliseconds(50));
    for (std::size_t I = 0; I < Instances; ++I) {
      if (Random() % 4 == 0) {
        std::size_t U = Random() % Upstreams;
        Trackers[I]->noteSent(Ids[U], 100);
        Open[I].push_back(U);
        ++Truth[U];
      }
      if (Open[I].size() > 10) {
        std::size_t U = Open[I].front();
        Open[I].erase(Open[I].begin());
        Trackers[I]->noteEnded(Ids[U]);
        --Truth[U];
      }
    }
    // A round of boards in every tenth tick, passed on five ticks before.
    if (Tick % 10 == 4) {
      for (std::size_t I = 0; I < Instances; ++I) {
        auto Own = Contributors[I]->take(milliseconds(0));
        Collectors[I % Groups]->note(*Own);
      }
      for (std::size_t G = 0; G < Groups; ++G)
        Direct[G] = Collectors[G]->contributions();
      for (const auto &Group : Direct) {
        for (const auto &Contribution : Group) {
          for (auto &Collector : Collectors)
            Collector->note(Contribution);
        }
      }
    }
    if (Tick % 10 != 9)
      continue;
    for (std::size_t I = 0; I < Instances; I += 10) {
      auto All = Collectors[I % Groups]->contributions();
      load_board Board = load_collector::sum(All, {});
      for (const auto &Contribution : All) {
        if (Contribution.instance().text() == "instance-" + std::to_string(I))
          Board = Board.including(Contribution.number());
      }
      LargestBoard = std::max(LargestBoard, encode(Board).size());
      ASSERT_TRUE(Contributors[I]->apply(Board, Instances));
    }
    for (std::size_t U = 0; U < Upstreams; ++U) {
      Error += std::abs(Trackers[0]->loadOf(Ids[U]).running() - Truth[U]);
      Total += Truth[U];
    }
  }
  EXPECT_LT(Error, 0.35 * Total);
  EXPECT_LT(LargestBoard, Upstreams * 24);
}
