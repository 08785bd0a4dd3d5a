#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class roll_out_tracker_test : public testing::Test {
protected:
  static constexpr milliseconds Duration{24000};

  roll_out_tracker_test() { orderRollOut(1); }

  void orderRollOut(std::uint64_t Offset) {
    Tracker.noteOrder(
        roll_out_order(Service, V2, Duration, log_offset(Offset)));
  }
  void orderAgainInEra(std::uint64_t Era) {
    Tracker.noteOrder(roll_out_order(Service, V2, Duration,
                                     log_position(Era, log_offset(1))));
  }
  static assignment_key session(int Index) {
    return assignment_key::ofSession("s" + std::to_string(Index));
  }
  bool isOnNewVersion(const assignment_key &Key) {
    return Tracker.ruleFor(Service, Key).admits(V2);
  }
  /// Counts requests without a session.
  int countOnNewVersion() {
    int Count = 0;
    for (int I = 0; I < Requests; ++I)
      Count += isOnNewVersion(assignment_key::ofRequest(std::to_string(I)));
    return Count;
  }
  int countSessionsOnNewVersion() {
    int Count = 0;
    for (int I = 0; I < Requests; ++I)
      Count += isOnNewVersion(session(I));
    return Count;
  }
  void noteFailures(int Times) {
    for (int I = 0; I < Times; ++I)
      Tracker.noteResponse(Service, V2, /*Good=*/false);
  }

  static constexpr int Requests = 2000;
  static constexpr double TrialShare = 0.15;
  manual_clock Clock;
  roll_out_limits Limits{TrialShare};
  roll_out_tracker Tracker{Limits, Clock};
  service_id Service{"engines"};
  version_id V1{"v1"};
  version_id V2{"v2"};
};

} // namespace

TEST_F(roll_out_tracker_test, firstHalf_newVersionGetsLessThanTheTrialShare) {
  EXPECT_LT(countOnNewVersion(), Requests * TrialShare);
  EXPECT_GT(countOnNewVersion(), 0);
  Clock.advance(Duration / 2);
  EXPECT_LT(countOnNewVersion(), Requests * TrialShare);
}

TEST_F(roll_out_tracker_test, firstHalf_noSessionIsOnTheNewVersion) {
  EXPECT_EQ(0, countSessionsOnNewVersion());
  Clock.advance(Duration / 2 - milliseconds(1));
  EXPECT_EQ(0, countSessionsOnNewVersion());
}

TEST_F(roll_out_tracker_test, startOfSecondHalf_fewSessionsAreOnTheNewVersion) {
  Clock.advance(Duration / 2);
  EXPECT_GT(countSessionsOnNewVersion(), 0);
  EXPECT_LT(countSessionsOnNewVersion(), Requests * TrialShare);
}

TEST_F(roll_out_tracker_test, session_onceOnTheNewVersion_staysThere) {
  std::vector<bool> Before(Requests, false);
  for (int Step = 0; Step < 24; ++Step) {
    for (int I = 0; I < Requests; ++I) {
      bool Now = isOnNewVersion(session(I));
      EXPECT_TRUE(Now || !Before[I]);
      Before[I] = Now;
    }
    Clock.advance(milliseconds(1000));
  }
}

TEST_F(roll_out_tracker_test, lateInTheRollOut_allGoToTheNewVersion) {
  Clock.advance(Duration * 85 / 100);
  EXPECT_EQ(Requests, countOnNewVersion());
  EXPECT_EQ(Requests, countSessionsOnNewVersion());
  EXPECT_FALSE(Tracker.ruleFor(Service, session(1)).admits(V1));
}

TEST_F(roll_out_tracker_test, badAnswers_versionIsRolledBack) {
  noteFailures(4);
  EXPECT_EQ(0, countOnNewVersion());
  ASSERT_EQ(1U, Tracker.unpublished().size());
  EXPECT_EQ(roll_out_stage::RolledBack, Tracker.unpublished()[0].stage());
  EXPECT_FALSE(Tracker.usable(Service, V2));
}

TEST_F(roll_out_tracker_test, fewBadAnswersAmongGoodOnes_versionIsKept) {
  for (int I = 0; I < 100; ++I)
    Tracker.noteResponse(Service, V2, /*Good=*/true);
  noteFailures(5);
  EXPECT_GT(countOnNewVersion(), 0);
}

TEST_F(roll_out_tracker_test, badAnswersOnBothVersions_newVersionIsKept) {
  for (int I = 0; I < 10; ++I)
    Tracker.noteResponse(Service, V1, /*Good=*/I % 2 == 0);
  noteFailures(5);
  for (int I = 0; I < 5; ++I)
    Tracker.noteResponse(Service, V2, /*Good=*/true);
  EXPECT_GT(countOnNewVersion(), 0);
}

TEST_F(roll_out_tracker_test, slowVersion_isRolledBack) {
  for (int I = 0; I < 10; ++I) {
    Tracker.noteFirstByte(Service, V1, milliseconds(100));
    Tracker.noteFirstByte(Service, V2, milliseconds(800));
  }
  EXPECT_EQ(0, countOnNewVersion());
}

TEST_F(roll_out_tracker_test, versionWithSlowEvents_isRolledBack) {
  for (int I = 0; I < 10; ++I) {
    Tracker.noteEventInterval(Service, V1, milliseconds(40), 1);
    Tracker.noteEventInterval(Service, V2, milliseconds(150), 1);
  }
  EXPECT_EQ(0, countOnNewVersion());
}

TEST_F(roll_out_tracker_test, slowVersionWhileTheOldOneIsLoaded_isRolledBack) {
  for (int I = 0; I < 10; ++I)
    Tracker.noteEventInterval(Service, V1, milliseconds(35), 3);
  for (int I = 0; I < 300; ++I)
    Tracker.noteEventInterval(Service, V1, milliseconds(110), 30);
  for (int I = 0; I < 10; ++I)
    Tracker.noteEventInterval(Service, V2, milliseconds(130), 3);
  EXPECT_EQ(0, countOnNewVersion());
}

TEST_F(roll_out_tracker_test, goodVersionThatGetsTheLoad_isKept) {
  for (int I = 0; I < 100; ++I) {
    Tracker.noteEventInterval(Service, V1, milliseconds(35), 3);
    Tracker.noteEventInterval(Service, V2, milliseconds(35), 3);
    Tracker.noteEventInterval(Service, V2, milliseconds(600), 60);
  }
  EXPECT_GT(countOnNewVersion(), 0);
}

TEST_F(roll_out_tracker_test, versionWithEventsAsUnderMoreLoad_isKept) {
  for (int I = 0; I < 100; ++I) {
    Tracker.noteEventInterval(Service, V1, milliseconds(35), 1);
    Tracker.noteEventInterval(Service, V2, milliseconds(60), 1);
  }
  EXPECT_GT(countOnNewVersion(), 0);
}

TEST_F(roll_out_tracker_test, evidenceOfAPeer_isAddedToOwnEvidence) {
  roll_out_tracker Other(Limits, Clock);
  Other.noteOrder(roll_out_order(Service, V2, Duration, log_offset(1)));
  for (int I = 0; I < 3; ++I)
    Other.noteResponse(Service, V2, /*Good=*/false);
  noteFailures(1);
  Tracker.merge(instance_id("peer"), Other.evidence());
  Tracker.merge(instance_id("peer"), Other.evidence());
  EXPECT_EQ(0, countOnNewVersion());
}

TEST_F(roll_out_tracker_test, orderReceivedLate_startTimeIsTakenFromThePeer) {
  roll_out_tracker Late(Limits, Clock);
  Clock.advance(Duration * 85 / 100);
  Late.noteOrder(roll_out_order(Service, V2, Duration, log_offset(1)));
  Late.merge(instance_id("peer"), Tracker.evidence());
  EXPECT_TRUE(Late.ruleFor(Service, session(1)).admits(V2));
  EXPECT_FALSE(Late.ruleFor(Service, session(1)).admits(V1));
}

TEST_F(roll_out_tracker_test, rolledBackByAPeer_isRolledBackHere) {
  roll_out_tracker Other(Limits, Clock);
  Other.noteOrder(roll_out_order(Service, V2, Duration, log_offset(1)));
  for (int I = 0; I < 10; ++I)
    Other.noteResponse(Service, V2, /*Good=*/false);
  Tracker.merge(instance_id("peer"), Other.evidence());
  EXPECT_EQ(0, countOnNewVersion());
}

TEST_F(roll_out_tracker_test, finishedSchedule_isComplete) {
  Clock.advance(Duration);
  ASSERT_EQ(1U, Tracker.unpublished().size());
  EXPECT_EQ(roll_out_stage::Complete, Tracker.unpublished()[0].stage());
  Tracker.noteStatus(Tracker.unpublished()[0], /*Era=*/0);
  EXPECT_TRUE(Tracker.unpublished().empty());
}

TEST_F(roll_out_tracker_test, olderOrder_changesNothing) {
  orderRollOut(5);
  noteFailures(10);
  orderRollOut(4);
  EXPECT_EQ(0, countOnNewVersion());
  orderRollOut(6);
  EXPECT_GT(countOnNewVersion(), 0);
}

TEST_F(roll_out_tracker_test, versionWithoutAnOrder_isNotUsable) {
  Tracker.noteEstablished(Service, V1);
  EXPECT_TRUE(Tracker.usable(Service, V1));
  EXPECT_TRUE(Tracker.usable(Service, V2));
  EXPECT_FALSE(Tracker.usable(Service, version_id("v3")));
}

TEST_F(roll_out_tracker_test, orderWithdrawnWhileRunning_versionIsRolledBack) {
  Tracker.withdraw(Service);
  EXPECT_FALSE(Tracker.usable(Service, V2));
}

RC_GTEST_FIXTURE_PROP(roll_out_tracker_test,
                      badVersion_onAllInstances_exposureIsBounded, ()) {
  // Every request on the new version fails with this probability; instances
  // exchange evidence every 700 ms, like the digests.
  constexpr int Instances = 8;
  constexpr double PerSecond = 46;
  constexpr int StepMs = 50;
  double FailShare = *rc::gen::inRange(30, 100) / 100.0;
  auto Seed = *rc::gen::arbitrary<std::uint32_t>();
  std::mt19937 Random(Seed);
  std::uniform_real_distribution<double> Fraction(0, 1);
  std::vector<std::unique_ptr<roll_out_tracker>> Trackers;
  for (int I = 0; I < Instances; ++I) {
    Trackers.push_back(std::make_unique<roll_out_tracker>(Limits, Clock));
    Trackers.back()->noteOrder(
        roll_out_order(Service, V2, Duration, log_offset(1)));
  }
  double Sent = 0;
  double SentToNewVersion = 0;
  for (int Now = 0; Now < Duration.count(); Now += StepMs) {
    for (int I = 0; I < Instances; ++I) {
      if (Fraction(Random) > PerSecond * StepMs / 1000 / Instances)
        continue;
      ++Sent;
      auto Key = assignment_key::ofSession(std::to_string(Random()));
      if (!Trackers[I]->ruleFor(Service, Key).admits(V2))
        continue;
      ++SentToNewVersion;
      Trackers[I]->noteResponse(Service, V2, Fraction(Random) > FailShare);
    }
    if (Now % 700 == 0) {
      for (int I = 0; I < Instances; ++I) {
        for (int J = 0; J < Instances; ++J) {
          if (I != J)
            Trackers[J]->merge(instance_id(std::to_string(I)),
                               Trackers[I]->evidence());
        }
      }
    }
    Clock.advance(milliseconds(StepMs));
  }
  constexpr double ExposureSlack = 30;
  RC_ASSERT(SentToNewVersion <= TrialShare * Sent + ExposureSlack);
}

RC_GTEST_FIXTURE_PROP(roll_out_tracker_test,
                      goodVersion_viewsOfDifferentAge_sessionsKeepTheirVersion,
                      ()) {
  // Each request of a session reaches any of the instances, which learn of the
  // order at different times and exchange evidence with a few others every 700
  // ms, like the digests of a large deployment.
  constexpr int Instances = 16;
  constexpr int PeersPerRound = 4;
  constexpr int StepMs = 100;
  constexpr int OrderAt = 5000;
  constexpr int MaxOrderDelay = 1000;
  constexpr int SessionsPerStep = 4;
  std::mt19937 Random(*rc::gen::arbitrary<std::uint32_t>());
  auto Below = [&Random](int Bound) {
    return static_cast<int>(Random() % static_cast<unsigned>(Bound));
  };
  struct open_session {
    int Id;
    int NextAt;
    bool OnNewVersion = false;
    bool Ran = false;
  };
  std::vector<std::unique_ptr<roll_out_tracker>> Trackers;
  std::vector<int> OrderKnownAt;
  for (int I = 0; I < Instances; ++I) {
    Trackers.push_back(std::make_unique<roll_out_tracker>(Limits, Clock));
    OrderKnownAt.push_back(OrderAt + Below(MaxOrderDelay));
  }
  std::vector<open_session> Open;
  int Started = 0;
  int Moved = 0;
  for (int Now = 0; Now < OrderAt + Duration.count(); Now += StepMs) {
    for (int I = 0; I < Instances; ++I) {
      if (OrderKnownAt[I] >= Now && OrderKnownAt[I] < Now + StepMs)
        Trackers[I]->noteOrder(
            roll_out_order(Service, V2, Duration, log_offset(2)));
      if ((Now / StepMs + I) % 7 != 0)
        continue;
      for (int Peer = 0; Peer < PeersPerRound; ++Peer) {
        int J = Below(Instances);
        Trackers[J]->merge(instance_id(std::to_string(I)),
                           Trackers[I]->evidence());
        Trackers[I]->merge(instance_id(std::to_string(J)),
                           Trackers[J]->evidence());
      }
    }
    for (int I = 0; I < SessionsPerStep; ++I)
      Open.push_back({Started++, Now});
    for (auto &Session : Open) {
      if (Session.NextAt > Now)
        continue;
      auto Key = session(Session.Id);
      bool New = Trackers[Below(Instances)]->ruleFor(Service, Key).type() ==
                 version_rule::kind::Only;
      bool FirstHalf = Now < OrderAt + Duration.count() / 2;
      if (Session.Ran && New != Session.OnNewVersion && (FirstHalf || !New))
        ++Moved;
      Session.OnNewVersion = New;
      Session.Ran = true;
      Session.NextAt = Now + 200 + Below(4000);
    }
    // A session consists of two requests on average.
    Open.erase(std::remove_if(Open.begin(), Open.end(),
                              [&](const open_session &Session) {
                                return Session.NextAt > Now && Session.Ran &&
                                       Below(40) == 0;
                              }),
               Open.end());
    Clock.advance(milliseconds(StepMs));
  }
  constexpr int AllowedMoves = 3;
  RC_ASSERT(Moved <= AllowedMoves);
}

TEST_F(roll_out_tracker_test, orderWrittenAgainAfterARestore_continues) {
  Clock.advance(Duration / 2);
  orderAgainInEra(1);
  EXPECT_GT(countSessionsOnNewVersion(), 0);
  Clock.advance(Duration / 2);
  EXPECT_EQ(Requests, countOnNewVersion());
}

TEST_F(roll_out_tracker_test, rolledBackOrderWrittenAgain_staysRolledBack) {
  noteFailures(40);
  ASSERT_EQ(0, countOnNewVersion());
  orderAgainInEra(1);
  EXPECT_EQ(0, countOnNewVersion());
  EXPECT_FALSE(Tracker.usable(Service, V2));
}

TEST_F(roll_out_tracker_test, otherOrderAfterARestore_beginsAnew) {
  Clock.advance(Duration);
  ASSERT_EQ(Requests, countOnNewVersion());
  Tracker.noteOrder(roll_out_order(Service, version_id("v3"), Duration,
                                   log_position(1, log_offset(1))));
  EXPECT_LT(Requests * (1 - TrialShare), countOnNewVersion());
  EXPECT_GT(Requests, countOnNewVersion());
}

TEST_F(roll_out_tracker_test, sameOrderInTheSameEra_beginsAnew) {
  Clock.advance(Duration);
  orderRollOut(2);
  EXPECT_LT(countOnNewVersion(), Requests * TrialShare);
}

TEST_F(roll_out_tracker_test, evidenceOfAPeerBeforeTheRestore_counts) {
  roll_out_tracker Peer(Limits, Clock);
  Peer.noteOrder(roll_out_order(Service, V2, Duration, log_offset(1)));
  for (int I = 0; I < 40; ++I)
    Peer.noteResponse(Service, V2, /*Good=*/false);
  orderAgainInEra(1);
  Tracker.merge(instance_id("peer"), Peer.evidence());
  EXPECT_EQ(0, countOnNewVersion());
}
