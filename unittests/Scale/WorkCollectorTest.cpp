#include "Support/ManualClock.h"
#include "bluebellkeel/Scale.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class work_collector_test : public testing::Test {
protected:
  std::vector<service_work> work(const char *Centre, std::uint64_t Running) {
    return {service_work(Service, data_centre_id(Centre), Running, 0)};
  }

  const service_id Service{"s"};
  manual_clock Clock;
  work_collector Collector{Clock};
};

TEST_F(work_collector_test, severalInstances_areAddedUp) {
  Collector.merge(instance_id("1"), work("a", 3));
  Collector.merge(instance_id("2"), work("b", 4));
  Collector.merge(instance_id("1"), work("a", 5));
  known_work Work = Collector.workOf(Service);
  EXPECT_EQ(work_total(9, 0, 0), Work.total());
  EXPECT_EQ(2U, Work.sources());
  EXPECT_EQ(5, Work.running().at(data_centre_id("a")));
}

TEST_F(work_collector_test, silentInstance_isLeftOut) {
  Collector.merge(instance_id("1"), work("a", 3));
  Clock.advance(work_collector::ShareLifetime);
  EXPECT_EQ(work_collector::ShareLifetime, Collector.workOf(Service).age());
  Clock.advance(milliseconds(1));
  EXPECT_EQ(0U, Collector.workOf(Service).sources());
}

} // namespace
