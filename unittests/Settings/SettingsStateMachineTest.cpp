#include "bluebellkeel/Settings.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

using verdict = change_outcome::verdict;

namespace {
class settings_state_machine_test : public testing::Test {
protected:
  static setting_edit edit(const char *Path, setting_value::variant Value) {
    return setting_edit(*settings_path::parse(Path),
                        setting_value(std::move(Value)));
  }
  static settings_change change(const char *Id, const char *Team,
                                std::uint64_t Base,
                                std::vector<setting_edit> Edits) {
    return settings_change(Id, team_id(Team), log_offset(Base),
                           std::move(Edits));
  }

  settings_state_machine StateMachine;
};
} // namespace

TEST_F(settings_state_machine_test, change_onCurrentBase_isAccepted) {
  auto Outcome = StateMachine.apply(
      log_offset(1),
      change("a", "catalog", 0, {edit("/catalog/versions/m@1/cost", 5.0)}));
  EXPECT_EQ(verdict::Accepted, Outcome.result());
  EXPECT_EQ(log_offset(1),
            StateMachine.state().revisionOf(team_id("catalog")).offset());
}

TEST_F(settings_state_machine_test,
       secondChange_onSameBase_conflictsAndNamesWinner) {
  auto Edit = edit("/catalog/versions/m@1/cost", 5.0);
  StateMachine.apply(log_offset(1), change("first", "catalog", 0, {Edit}));
  auto Outcome =
      StateMachine.apply(log_offset(2), change("second", "catalog", 0, {Edit}));
  EXPECT_EQ(verdict::Conflict, Outcome.result());
  EXPECT_EQ("first", Outcome.winner());
}

TEST_F(settings_state_machine_test, change_toOtherTeamsSubtree_isForbidden) {
  auto Outcome = StateMachine.apply(
      log_offset(1),
      change("a", "catalog", 0,
             {edit("/platform/data-centres/x/state", std::string("out"))}));
  EXPECT_EQ(verdict::Forbidden, Outcome.result());
  EXPECT_TRUE(StateMachine.state().values().empty());
}

TEST_F(settings_state_machine_test, change_withInvalidEdits_reportsEachPath) {
  auto Outcome = StateMachine.apply(
      log_offset(1), change("a", "catalog", 0,
                            {edit("/catalog/versions/m@1/quality", 2.0),
                             edit("/catalog/nonsense/x/y", true)}));
  EXPECT_EQ(verdict::Invalid, Outcome.result());
  ASSERT_EQ(2U, Outcome.errors().size());
  EXPECT_EQ("/catalog/versions/m@1/quality: expected a number from 0 to 1, "
            "found 2",
            Outcome.errors()[0].message());
}

TEST_F(settings_state_machine_test,
       resend_ofLastAcceptedChange_isNotReapplied) {
  auto Change =
      change("a", "catalog", 0, {edit("/catalog/versions/m@1/cost", 5.0)});
  StateMachine.apply(log_offset(1), Change);
  auto Outcome = StateMachine.apply(log_offset(2), Change);
  EXPECT_TRUE(Outcome.accepted());
  EXPECT_EQ(log_offset(1),
            StateMachine.state().revisionOf(team_id("catalog")).offset());
}

TEST_F(settings_state_machine_test, accountName_usedByOtherTeam_isInvalid) {
  StateMachine.apply(
      log_offset(1),
      change("a", "one", 0, {edit("/one/accounts/x/quality-target", 0.5)}));
  auto Outcome = StateMachine.apply(
      log_offset(2),
      change("b", "two", 0, {edit("/two/accounts/x/quality-target", 0.5)}));
  EXPECT_EQ(verdict::Invalid, Outcome.result());
}

TEST_F(settings_state_machine_test, apiKey_usedByOtherAccount_isInvalid) {
  auto Outcome = StateMachine.apply(
      log_offset(1),
      change("a", "one", 0,
             {edit("/one/accounts/x/api-key", std::string("k")),
              edit("/one/accounts/y/api-key", std::string("k"))}));
  EXPECT_EQ(verdict::Invalid, Outcome.result());
}

TEST_F(settings_state_machine_test, apply_offsetAlreadyApplied_changesNothing) {
  StateMachine.skip(log_offset(5));
  settings_state Before = StateMachine.state();
  StateMachine.apply(
      log_offset(5),
      change("a", "catalog", 0, {edit("/catalog/versions/m@1/cost", 5.0)}));
  EXPECT_EQ(Before, StateMachine.state());
}
