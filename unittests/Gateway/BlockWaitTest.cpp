#include "BlockWait.h"
#include "Support/ManualClock.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class block_wait_test : public testing::Test {
protected:
  manual_clock Clock;
  block_wait Wait{Clock};
};

} // namespace

// Guards against a restarted instance that sends the first requests without
// knowing which of them crash upstreams.
TEST_F(block_wait_test, blocksNotRead_instanceWaits) {
  EXPECT_FALSE(Wait.isOver());
  Wait.noteRead();
  EXPECT_TRUE(Wait.isOver());
}

// Guards against an instance that never serves while the log fails.
TEST_F(block_wait_test, blocksCannotBeRead_waitEnds) {
  Clock.advance(seconds(60));
  EXPECT_FALSE(Wait.isOver());
  Clock.advance(block_wait::MaxWait);
  EXPECT_TRUE(Wait.isOver());
}
