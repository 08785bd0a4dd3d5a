#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class prompt_part_test : public testing::Test {
protected:
  static std::string idOf(std::string Name) {
    return prompt_part(std::move(Name), 1).id();
  }
};

} // namespace

TEST_F(prompt_part_test, idOfOrdinaryLength_isKept) {
  std::string Longest(prompt_part::MaxIdBytes, 'a');
  EXPECT_EQ("5c1e07a2", idOf("5c1e07a2"));
  EXPECT_EQ(Longest, idOf(Longest));
}

TEST_F(prompt_part_test, longIds_areShort_equalOnlyIfTheyWere) {
  std::string Long(prompt_part::MaxIdBytes + 1, 'a');
  EXPECT_LE(idOf(Long).size(), prompt_part::MaxIdBytes);
  EXPECT_EQ(idOf(Long), idOf(Long));
  EXPECT_NE(idOf(Long), idOf(Long + "a"));
}
