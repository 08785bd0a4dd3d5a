#include "Support/ForwardFixture.h"
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

constexpr milliseconds Tick{20};
constexpr milliseconds DigestInterval{700};
/// Operators' bound on the requests to a limited upstream in any four seconds,
/// and the time from which it holds.
constexpr milliseconds Window{4000};
constexpr milliseconds ContactTime{3000};
constexpr milliseconds LearningTime{500};
constexpr double Overage = 1.5;
constexpr double Slack = 5;

/// One instance with all its decisions, and the upstreams as it sees them.
class clustered_instance final : public forward_fixture {
public:
  explicit clustered_instance(const std::string &Id) : forward_fixture(Id) {}
  void TestBody() override {}

  void limitUpstream(std::optional<double> Rate) {
    Upstreams.Defaults[upstream_id("u1")].Notice.RateLimit = Rate;
  }
  /// Sends one request; returns how many attempts the limited upstream got, and
  /// notes when it first told this instance its limit.
  std::size_t request() {
    Upstreams.Attempts.clear();
    run("/again/x");
    auto Arrived = static_cast<std::size_t>(
        std::count_if(Upstreams.Attempts.begin(), Upstreams.Attempts.end(),
                      [](const auto &Attempt) {
                        return Attempt.upstream().id().text() == "u1";
                      }));
    if (Arrived > 0 && !ToldAt)
      ToldAt = Clock.monotonicNow();
    return Arrived;
  }
  void receive(clustered_instance &From) {
    Instances.recordContact(instance_record(
        From.Self, data_centre_id("north"), network_address("10.0.0.1", 1),
        network_address("10.0.0.1", 2), instance_state::Live));
    Notices.merge(From.Notices.report());
  }
  void advance() { Clock.advance(Tick); }
  bool told() const {
    return ToldAt && Clock.monotonicNow() - *ToldAt >= LearningTime;
  }

private:
  std::optional<monotonic_time> ToldAt;
};

/// Instances that exchange digests, and requests that arrive at random.
class limit_cluster_test : public testing::Test {
protected:
  void start(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      restart(I);
  }
  /// An instance that starts has read the registrations of the others.
  void restart(std::size_t Index) {
    auto Fresh =
        std::make_unique<clustered_instance>("edge-" + std::to_string(Index));
    if (Index >= Members.size())
      Members.emplace_back();
    Members[Index] = std::move(Fresh);
    for (std::size_t Other = 0; Other < Members.size(); ++Other) {
      if (Other != Index)
        Members[Index]->receive(*Members[Other]);
    }
    Members[Index]->limitUpstream(Limit);
  }
  void limitUpstream(std::optional<double> Rate) {
    Limit = Rate;
    for (auto &Member : Members)
      Member->limitUpstream(Rate);
  }
  bool connected(std::size_t A, std::size_t B) const {
    return Cut.count(A) == Cut.count(B);
  }
  void exchangeDigests() {
    for (std::size_t To = 0; To < Members.size(); ++To) {
      for (std::size_t From = 0; From < Members.size(); ++From) {
        if (From != To && connected(From, To))
          Members[To]->receive(*Members[From]);
      }
    }
  }
  /// Lets each instance send \p PerSecond requests per second on average;
  /// appends the number of arrivals at the limited upstream in each tick.
  void play(milliseconds Time, double PerSecond) {
    for (milliseconds Now{0}; Now < Time; Now += Tick) {
      std::size_t Counted = 0;
      std::size_t All = 0;
      for (auto &Member : Members) {
        Member->advance();
        bool Told = Member->told();
        std::bernoulli_distribution Sends(PerSecond * 0.02);
        std::size_t Arrived = Sends(Random) ? Member->request() : 0;
        All += Arrived;
        Counted += Told ? Arrived : 0;
      }
      Arrivals.push_back(Counted);
      Total += All;
      if ((SinceDigest += Tick) >= DigestInterval) {
        SinceDigest = milliseconds(0);
        exchangeDigests();
      }
    }
  }
  std::size_t mostInAWindow() const {
    std::size_t Length = static_cast<std::size_t>(Window / Tick);
    std::size_t Most = 0;
    for (std::size_t From = 0; From + Length <= Arrivals.size(); ++From)
      Most = std::max(Most,
                      std::accumulate(&Arrivals[From], &Arrivals[From] + Length,
                                      std::size_t(0)));
    return Most;
  }
  static double allowed(double Rate) {
    return Overage * Rate * static_cast<double>(Window / seconds(1)) + Slack;
  }

  std::vector<std::unique_ptr<clustered_instance>> Members;
  std::optional<double> Limit;
  std::set<std::size_t> Cut;
  std::mt19937_64 Random{1};
  milliseconds SinceDigest{0};
  std::vector<std::size_t> Arrivals;
  std::size_t Total = 0;
};

} // namespace

TEST_F(limit_cluster_test, manyInstances_stayWithinTheLimitAndUseIt) {
  start(30);
  limitUpstream(3);
  play(ContactTime, 5);
  Arrivals.clear();
  Total = 0;
  play(milliseconds(10000), 5);
  EXPECT_LE(mostInAWindow(), allowed(3));
  EXPECT_GE(Total, 20U);
}

TEST_F(limit_cluster_test, liftedLimit_isUsedByAllSoon) {
  start(9);
  limitUpstream(1);
  play(milliseconds(5000), 5);
  limitUpstream(std::nullopt);
  play(milliseconds(3000), 5);
  Total = 0;
  play(milliseconds(4000), 5);
  EXPECT_GE(Total, 40U);
}

TEST_F(limit_cluster_test, halfCutOffForLong_staysWithinTheLimit) {
  start(8);
  limitUpstream(4);
  play(ContactTime, 5);
  Arrivals.clear();
  Cut = {0, 1, 2, 3};
  play(milliseconds(30000), 5);
  EXPECT_LE(mostInAWindow(), allowed(4));
}

RC_GTEST_FIXTURE_PROP(limit_cluster_test,
                      anyRestartsAndCuts_requestsStayWithinTheLimit, ()) {
  Random.seed(*rc::gen::arbitrary<std::uint64_t>());
  std::size_t Count = *rc::gen::inRange<std::size_t>(2, 14);
  double Rate = 0.1 * *rc::gen::inRange(5, 120);
  start(Count);
  limitUpstream(Rate);
  play(ContactTime, 6);
  Arrivals.clear();
  int Phases = *rc::gen::inRange(2, 6);
  for (int Phase = 0; Phase < Phases; ++Phase) {
    std::size_t Target = *rc::gen::inRange<std::size_t>(0, Count);
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      restart(Target);
      break;
    case 1:
      Cut.insert(Target);
      break;
    case 2:
      Cut.clear();
      break;
    default:
      break;
    }
    play(milliseconds(*rc::gen::inRange(500, 9000)), 6);
  }
  RC_ASSERT(static_cast<double>(mostInAWindow()) <= allowed(Rate));
}
