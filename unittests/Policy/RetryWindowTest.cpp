#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class retry_window_test : public testing::Test {
protected:
  static constexpr double Ratio = 0.9;
  static constexpr double Slack = 56;
  static constexpr std::size_t Instances = 8;

  manual_clock Clock;
  retry_rules Rules{Ratio, Slack, milliseconds(10000)};
  retry_window Window{Rules, Clock};
  service_id Service{"engines"};
};

} // namespace

TEST_F(retry_window_test, retries_withoutRequests_stayWithinTheInstancesSlack) {
  int Spent = 0;
  while (Window.spend(Service, Instances))
    ++Spent;
  EXPECT_GE(Spent, 1);
  EXPECT_LE(Spent, Slack / Instances);
}

TEST_F(retry_window_test, retries_ofAnEarlierWindow_areNotCounted) {
  while (Window.spend(Service, Instances)) {
  }
  Clock.advance(milliseconds(10001));
  EXPECT_TRUE(Window.spend(Service, Instances));
}

TEST_F(retry_window_test, services_areCountedSeparately) {
  while (Window.spend(Service, Instances)) {
  }
  EXPECT_TRUE(Window.spend(service_id("desk"), Instances));
}

RC_GTEST_FIXTURE_PROP(retry_window_test,
                      anySchedule_inEveryWindow_staysWithinTheRules, ()) {
  constexpr int Second = 1000;
  struct event {
    bool Retry;
    monotonic_time At;
  };
  std::vector<event> Events;
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
  for (int Step : Steps) {
    Clock.advance(milliseconds(Step));
    if (Step % 2 == 0) {
      Window.noteRequest(Service);
      Events.push_back({false, Clock.monotonicNow()});
    }
    for (int I = 0; I < 2; ++I) {
      if (Window.spend(Service, Instances))
        Events.push_back({true, Clock.monotonicNow()});
    }
  }
  for (const auto &Last : Events) {
    double Requests = 0;
    double Retries = 0;
    for (const auto &Event : Events) {
      if (Event.At > Last.At || Last.At - Event.At > milliseconds(10 * Second))
        continue;
      (Event.Retry ? Retries : Requests) += 1;
    }
    RC_ASSERT(Retries <= Ratio * Requests + Slack / Instances);
  }
}
