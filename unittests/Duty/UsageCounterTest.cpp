#include "Support/ManualClock.h"
#include "bluebellkeel/Duty.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class usage_counter_test : public testing::Test {
protected:
  static constexpr milliseconds Window{5000};

  std::uint64_t now() const { return Times.windowAt(Clock.wallNow()); }

  const account_id X{"x"};
  const account_id Y{"y"};
  manual_clock Clock;
  duty_times Times{milliseconds(3000), Window, milliseconds(10000)};
  usage_counter Counter{Times, Clock};
  usage_collector Collector;
};

} // namespace

TEST_F(usage_counter_test, requests_countInTheWindowInWhichTheyBegin) {
  Counter.onRequestBegun(X);
  Counter.onRequestBegun(Y);
  Clock.advance(Window);
  Counter.onRequestBegun(X);
  std::vector<usage_report> Expected = {
      usage_report(now() - 1, {{X, 1}, {Y, 1}}), usage_report(now(), {{X, 1}})};
  EXPECT_EQ(Expected, Counter.counts());
}

TEST_F(usage_counter_test, oldWindows_areForgotten) {
  Counter.onRequestBegun(X);
  Clock.advance(Window * usage_counter::MaxWindows);
  EXPECT_TRUE(Counter.counts().empty());
}

TEST_F(usage_counter_test, countsOfInstances_areAddedUpOnceEach) {
  Collector.merge(instance_id("a"), {usage_report(1, {{X, 2}})});
  Collector.merge(instance_id("b"), {usage_report(1, {{X, 1}, {Y, 1}})});
  Collector.merge(instance_id("a"), {usage_report(1, {{X, 5}})});
  // Was overtaken by the one before.
  Collector.merge(instance_id("a"), {usage_report(1, {{X, 3}})});
  EXPECT_EQ(usage_report(1, {{X, 6}, {Y, 1}}), Collector.total(1));
  EXPECT_EQ(2U, Collector.instances(1));
  Collector.forgetBefore(2);
  EXPECT_TRUE(Collector.total(1).counts().empty());
}
