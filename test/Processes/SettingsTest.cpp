#include "Deployment.h"
#include <csignal>
#include <future>

using namespace bluebellkeel;

using nlohmann::json;

/// Time by which an accepted change must be in force on all instances, and by
/// which an instance without contact must stop taking new work.
static constexpr seconds PropagationLimit{10};

namespace {
class settings_test : public deployment {
protected:
  json valueAt(int Instance, const std::string &Path) {
    json Settings =
        get(instance(Instance), "/admin/settings?path=" + Path, CatalogKey);
    return Settings.value("values", json::object()).value(Path, json());
  }

  inline static const std::string CostPath = "/catalog/versions/lace@1/cost";
};
} // namespace

TEST_F(settings_test, acceptedChange_isInForceEverywhereWithinTenSeconds) {
  ASSERT_EQ("accepted", change(CatalogKey, 1, {{CostPath, 7}})["verdict"]);
  for (int Index = 0; Index < InstanceCount; ++Index)
    EXPECT_TRUE(waitFor([&] { return valueAt(Index, CostPath) == json(7.0); },
                        PropagationLimit));
}

TEST_F(settings_test, racingOperators_conflictNamesTheWinner) {
  auto First = std::async(std::launch::async, [&] {
    return change(CatalogKey, 0, {{CostPath, 11}}, "first");
  });
  auto Second = std::async(std::launch::async, [&] {
    return change(CatalogKey, 1, {{CostPath, 22}}, "second");
  });
  json Outcomes[] = {First.get(), Second.get()};
  int Accepted = 0;
  for (const auto &Outcome : Outcomes)
    Accepted += Outcome.value("verdict", "") == "accepted" ? 1 : 0;
  // Both may be accepted if one of them reads the revision after the other's
  // change.
  EXPECT_GE(Accepted, 1);
  for (const auto &Outcome : Outcomes) {
    if (Outcome.value("verdict", "") != "conflict")
      continue;
    EXPECT_FALSE(Outcome.value("winner", "").empty());
  }
  json FinalValue = valueAt(2, CostPath);
  EXPECT_TRUE(waitFor(
      [&] {
        FinalValue = valueAt(2, CostPath);
        return valueAt(0, CostPath) == FinalValue &&
               valueAt(1, CostPath) == FinalValue;
      },
      PropagationLimit));
}

TEST_F(settings_test, appendAnswerLost_changeIsFoundByItsId) {
  set(log(), {{"lose_answers", 1}});
  json Outcome = change(CatalogKey, 0, {{CostPath, 5}}, "the-change");
  EXPECT_EQ("accepted", Outcome.value("verdict", "")) << Outcome.dump();
  set(log(), {{"lose_answers", 0}});
  json Again = change(CatalogKey, 1, {{CostPath, 5}}, "the-change");
  EXPECT_EQ("accepted", Again.value("verdict", ""));
  EXPECT_EQ(Outcome["offset"], Again["offset"]);
}

TEST_F(settings_test, logDown_changeIsRefusedAndNothingChanges) {
  set(log(), {{"down", 1}});
  json Outcome = change(CatalogKey, 0, {{CostPath, 5}});
  EXPECT_EQ("log_unavailable",
            Outcome.value("error", json::object()).value("code", ""));
  set(log(), {{"down", 0}});
  sleepFor(seconds(1));
  EXPECT_EQ(json(400.0), valueAt(0, CostPath));
}

TEST_F(settings_test, freshInstance_whileTheLogIsDown_startsFromItsPeers) {
  set(log(), {{"down", 1}});
  killInstance(2);
  startInstance(2);
  ASSERT_TRUE(waitFor([&] { return ready(2); }, seconds(20)));
  EXPECT_EQ(json(400.0), valueAt(2, CostPath));
  auto Result = directCallerOf(2).chat("auto", "hello", 8, true, "r", "");
  EXPECT_EQ(request_outcome::Whole, Result.End) << Result.Reason;
}

TEST_F(settings_test, retentionPassed_freshInstanceStartsFromASnapshot) {
  json Before = get(log(), "/streams/settings?from=1");
  post(log(), "/trim",
       {{"stream", "settings"},
        {"before", Before["head"].get<std::uint64_t>() + 1}});
  // A running instance detects that its last snapshot is no longer retained and
  // appends a new one.
  ASSERT_TRUE(waitFor(
      [&] {
        return get(log(), "/streams/settings?from=1")["head"] > Before["head"];
      },
      seconds(20)));
  killInstance(2);
  startInstance(2);
  ASSERT_TRUE(waitFor([&] { return ready(2); }, seconds(20)));
  EXPECT_EQ(json(400.0), valueAt(2, CostPath));
}

TEST_F(settings_test, instanceCutFromTheLog_becomesReadyThroughItsPeers) {
  killInstance(2);
  startInstance(2, unusedAddress());
  EXPECT_TRUE(waitFor([&] { return ready(2); }, seconds(20)));
}

TEST_F(settings_test, instanceCutFromAll_takesNoNewWorkWithinTenSeconds) {
  killInstance(2);
  startInstance(2, unusedAddress());
  ASSERT_TRUE(waitFor([&] { return ready(2); }, seconds(20)));
  Instances[0]->signal(SIGSTOP);
  Instances[1]->signal(SIGSTOP);
  EXPECT_TRUE(waitFor([&] { return !ready(2); }, PropagationLimit));
  auto Result = sendChat(2, "r");
  EXPECT_EQ(request_outcome::NotRun, Result.End);
  EXPECT_EQ("settings_stale", Result.Reason);
  Instances[0]->signal(SIGCONT);
  Instances[1]->signal(SIGCONT);
  EXPECT_TRUE(waitFor([&] { return ready(2); }, seconds(20)));
}

TEST_F(settings_test, logDownForAll_chatsAreServedWithTheLastSettings) {
  set(log(), {{"down", 1}});
  // Longer than freshness_rules::DefaultMaxLogAge.
  sleepFor(seconds(11));
  for (int Index = 0; Index < InstanceCount; ++Index) {
    auto Result = directCallerOf(Index).chat("auto", "hello", 8, true,
                                             "r" + std::to_string(Index), "");
    EXPECT_EQ(request_outcome::Whole, Result.End) << Result.Reason;
  }
}

TEST_F(settings_test, withdrawnVersion_getsNoNewWork) {
  ASSERT_EQ(
      "accepted",
      change(CatalogKey, 0, {{"/catalog/versions/lace@1/stage", "withdrawn"}})
          .value("verdict", ""));
  sleepFor(seconds(2));
  for (int Index = 0; Index < 6; ++Index) {
    auto Result =
        directCallerOf(Index % InstanceCount)
            .chat("auto", "hello", 8, true, "r" + std::to_string(Index), "");
    EXPECT_EQ("lace@2", Result.Version) << Result.Reason;
  }
}

TEST_F(settings_test, session_acrossInstancesAndRollOuts_keepsItsVersion) {
  auto First = directCallerOf(0).chat("auto", "hello", 8, true, "r0", "");
  ASSERT_EQ("lace@1", First.Version) << First.Reason;
  change(CatalogKey, 0, {{"/catalog/versions/lace@1/stage", "held"}});
  sleepFor(seconds(2));
  killInstance(0);
  for (int Index : {1, 2}) {
    auto Kept = directCallerOf(Index).chat(
        "auto", "more", 8, true, "k" + std::to_string(Index), First.Session);
    EXPECT_EQ("lace@1", Kept.Version) << Kept.Reason;
    auto Fresh = directCallerOf(Index).chat("auto", "new", 8, true,
                                            "f" + std::to_string(Index), "");
    EXPECT_EQ("lace@2", Fresh.Version) << Fresh.Reason;
  }
  change(CatalogKey, 1, {{"/catalog/versions/lace@1/stage", "withdrawn"}});
  sleepFor(seconds(2));
  auto Ended =
      directCallerOf(1).chat("auto", "more", 8, true, "e", First.Session);
  EXPECT_EQ("session_version_withdrawn", Ended.Reason);
  EXPECT_EQ(request_outcome::NotRun, Ended.End);
}
