#include "Deployment.h"
#include <future>

using namespace bluebellkeel;

namespace {
class billing_test : public deployment {
protected:
  /// Sends a chat to one instance. \p Id is both the prompt and the request id.
  static request_result chat(int Instance, const std::string &Id) {
    return directCallerOf(Instance).chat("auto", Id, 8, /*Stream=*/true, Id,
                                         "");
  }
};
} // namespace

TEST_F(billing_test, chats_withoutFaults_areBilledOnceEach) {
  for (int Index = 0; Index < 12; ++Index) {
    std::string Id = "r" + std::to_string(Index);
    auto Result = chat(Index % InstanceCount, Id);
    ASSERT_EQ(request_outcome::Whole, Result.End) << Result.Reason;
    EXPECT_NE(std::string::npos, Result.Text.find("<" + Id + ">"));
  }
  auto Bills = billCounts();
  EXPECT_EQ(12U, Bills.size());
  for (const auto &[Id, Count] : Bills)
    EXPECT_EQ(1, Count) << Id;
  EXPECT_EQ(12U, sumEngineStatistic("completed"));
}

TEST_F(billing_test, sameRequest_sentTwice_isBilledOnce) {
  ASSERT_EQ(request_outcome::Whole, chat(0, "r").End);
  ASSERT_EQ(request_outcome::Whole, chat(1, "r").End);
  EXPECT_EQ(1, billCounts()["r"]);
}

TEST_F(billing_test, logDown_chatsAreAnsweredAndBilledLater) {
  ASSERT_EQ(request_outcome::Whole, chat(0, "before").End);
  set(log(), {{"down", 1}});
  for (int Index = 0; Index < 6; ++Index) {
    auto Result = chat(Index % InstanceCount, "r" + std::to_string(Index));
    EXPECT_EQ(request_outcome::Whole, Result.End) << Result.Reason;
  }
  set(log(), {{"down", 0}});
  EXPECT_TRUE(waitFor([&] { return billCounts().size() == 7; }, seconds(10)));
  for (const auto &[Id, Count] : billCounts())
    EXPECT_EQ(1, Count) << Id;
}

TEST_F(billing_test, instanceKilled_whileTheLogIsDown_losesNoBill) {
  ASSERT_EQ(request_outcome::Whole, chat(0, "before").End);
  set(log(), {{"down", 1}});
  ASSERT_EQ(request_outcome::Whole, chat(0, "r").End);
  killInstance(0);
  set(log(), {{"down", 0}});
  EXPECT_TRUE(waitFor([&] { return billCounts()["r"] == 1; }, seconds(10)));
}

TEST_F(billing_test, appendAnswersLost_requestIsBilledOnce) {
  set(log(), {{"lose_answers", 1}});
  auto Result = chat(0, "r");
  EXPECT_EQ(request_outcome::Whole, Result.End) << Result.Reason;
  set(log(), {{"lose_answers", 0}});
  sleepFor(seconds(1));
  EXPECT_EQ(1, billCounts()["r"]);
}

TEST_F(billing_test, answerTruncatedByEngine_isNotBilled) {
  for (int Index = 0; Index < EngineCount; ++Index)
    set(engine(Index), {{"truncate_at", 4}});
  auto Result = chat(0, "r");
  EXPECT_EQ("answer_interrupted", Result.Reason);
  EXPECT_TRUE(billCounts().empty());
}
