#include "bluebellkeel/Core.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class stable_hash_test : public testing::Test {};

} // namespace

// Guards against blocks of requests that are forgotten with an upgrade.
TEST_F(stable_hash_test, parts_hashAsTheirConcatenation) {
  const std::string Long(5000, 'x');
  EXPECT_EQ(stableHash("/path|account|" + Long),
            stableHashOfParts({"/path", "|", "account", "|", Long}));
  EXPECT_EQ(stableHash(""), stableHashOfParts({}));
}
