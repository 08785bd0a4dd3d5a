#include "bluebellkeel/Settings.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class settings_path_test : public testing::Test {};
} // namespace

TEST_F(settings_path_test, parse_validPath_roundTrips) {
  auto Path = settings_path::parse("/catalog/versions/lace@1/cost");
  ASSERT_TRUE(Path);
  EXPECT_EQ("/catalog/versions/lace@1/cost", Path->text());
  EXPECT_EQ(team_id("catalog"), Path->team());
}

TEST_F(settings_path_test, parse_malformedPath_returnsNullopt) {
  for (const char *Text : {"", "a", "/", "//a", "/a/", "/A", "/a b", "/a/../b%",
                           "/1/2/3/4/5/6/7/8/9"})
    EXPECT_FALSE(settings_path::parse(Text)) << Text;
}

TEST_F(settings_path_test, startsWith_siblingWithCommonPrefix_isFalse) {
  auto Path = *settings_path::parse("/catalogue/x");
  EXPECT_FALSE(Path.startsWith(*settings_path::parse("/catalog")));
  EXPECT_TRUE(Path.startsWith(*settings_path::parse("/catalogue")));
}
