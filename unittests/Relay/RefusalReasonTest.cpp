#include "bluebellkeel/Relay.h"
#include <gtest/gtest.h>
#include <set>

using namespace bluebellkeel;

namespace {
class refusal_reason_test : public testing::Test {};
} // namespace

TEST_F(refusal_reason_test, eachReason_hasUniqueCodeAtItsIndex) {
  std::set<std::string_view> Codes;
  int Index = 0;
  for (auto Reason : allRefusalReasons()) {
    EXPECT_EQ(Index++, static_cast<int>(Reason));
    Codes.insert(toString(Reason));
    EXPECT_GE(httpStatus(Reason), 400);
  }
  EXPECT_EQ(allRefusalReasons().size(), Codes.size());
}
