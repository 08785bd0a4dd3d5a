#include "Support/ForwardFixture.h"

using namespace bluebellkeel;

namespace {

/// Upstreams that report how long work takes there now.
class uneven_upstream_test : public forward_fixture {
protected:
  /// Returns the number of requests that went to u1 while it has more to read
  /// than the others.
  std::size_t sentToBusy(std::optional<double> TimeFactor) {
    for (const char *Id : {"u1", "u2", "u3"})
      Loads.noteReport(upstream_id(Id), {0, 0, TimeFactor});
    Loads.noteSent(upstream_id("u1"), 20000);
    for (int I = 0; I < 30; ++I)
      run("/again/x");
    return static_cast<std::size_t>(
        std::count_if(Upstreams.Attempts.begin(), Upstreams.Attempts.end(),
                      [](const auto &Attempt) {
                        return Attempt.upstream().id() == upstream_id("u1");
                      }));
  }
  std::size_t linesWith(const std::string &Text) const {
    return static_cast<std::size_t>(std::count_if(
        Log.Lines.begin(), Log.Lines.end(), [&](const std::string &Line) {
          return Line.find(Text) != std::string::npos;
        }));
  }
};

} // namespace

TEST_F(uneven_upstream_test, reportedSpeed_avoidsTheQueueAndLogsTheEstimate) {
  EXPECT_EQ(0U, sentToBusy(1.0));
  EXPECT_EQ(30U, linesWith("expected_ms"));
}

TEST_F(uneven_upstream_test, unreportedSpeed_logsNoEstimateAndLearnsNothing) {
  EXPECT_EQ(0U, sentToBusy(std::nullopt));
  EXPECT_EQ(0U, linesWith("expected_ms"));
  EXPECT_EQ(work_mix_tracker::StartLightShare,
            WorkMix.lightShare(service_id("engines")));
}
