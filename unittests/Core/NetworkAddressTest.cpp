#include "bluebellkeel/Core.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class network_address_test : public testing::Test {};
} // namespace

TEST_F(network_address_test, parse_hostAndPort_returnsBoth) {
  auto Address = network_address::parse("127.0.0.1:7101");
  ASSERT_TRUE(Address);
  EXPECT_EQ("127.0.0.1", Address->host());
  EXPECT_EQ(7101, Address->port());
}

TEST_F(network_address_test, parse_malformedText_returnsNullopt) {
  for (const char *Text : {"", ":1", "host", "host:", "host:0", "host:65536",
                           "host:1x", "ho st:1", "host\n:1", "\xff\xfe:1"})
    EXPECT_FALSE(network_address::parse(Text)) << Text;
}
