#include "Support/FakeLog.h"
#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Journal/ClaimTable.h"
#include "bluebellkeel/Settings.h"
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// Replays recorded streams and compares the results with the outcomes that the
/// trace states.
class trace_test : public testing::Test {
protected:
  static json readTrace(const std::string &Name) {
    std::ifstream File(std::string(TRACE_FOLDER) + "/" + Name);
    std::stringstream Text;
    Text << File.rdbuf();
    auto Json = parseJson(Text.str(), /*Comments=*/true);
    EXPECT_TRUE(Json) << Name;
    return Json.value_or(json::object());
  }

  static std::string verdictName(const claim_verdict &Verdict) {
    switch (Verdict.result()) {
    case claim_verdict::kind::Granted:
      return "granted";
    case claim_verdict::kind::HeldElsewhere:
      return "held_elsewhere";
    case claim_verdict::kind::Finished:
      return "finished";
    default:
      return "none";
    }
  }

  static void replayClaims(const std::string &Name) {
    json Trace = readTrace(Name);
    claim_table Claims;
    for (const auto &Record : Trace["records"]) {
      auto Entry = claimEntryFrom(Record);
      ASSERT_TRUE(Entry) << Record.dump();
      Claims.apply(*Entry);
    }
    for (const auto &Expected : Trace["outcomes"]) {
      auto Verdict = Claims.verdictFor(Expected["ticket"].get<std::string>(),
                                       Expected["attempt"].get<std::string>());
      EXPECT_EQ(Expected["verdict"], verdictName(Verdict)) << Expected.dump();
    }
  }
};

} // namespace

TEST_F(trace_test, claims_holderKilledAndTicketResent_verdictsMatchTrace) {
  replayClaims("claims-holder-killed.jsonc");
}

TEST_F(trace_test, claims_appendAnswerLostThenReleased_verdictsMatchTrace) {
  replayClaims("claims-answer-lost.jsonc");
}

TEST_F(trace_test, settings_racingOperators_verdictsMatchTrace) {
  json Trace = readTrace("settings-race.jsonc");
  settings_state_machine StateMachine;
  std::uint64_t Offset = 0;
  for (const auto &Record : Trace["records"]) {
    auto Change = settingsChangeFrom(Record);
    ASSERT_TRUE(Change) << Record.dump();
    auto Outcome = StateMachine.apply(log_offset(++Offset), *Change);
    json Expected = Trace["outcomes"][Offset - 1];
    EXPECT_EQ(Expected["verdict"], std::string(toString(Outcome.result())));
    EXPECT_EQ(Expected.value("winner", ""), Outcome.winner());
  }
  for (const auto &[Path, Value] : Trace["in_force"].items())
    EXPECT_EQ(Value,
              toJson(*StateMachine.state().find(*settings_path::parse(Path))));
}
