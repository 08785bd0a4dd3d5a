#include "BodyBlocks.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class body_blocks_test : public testing::Test {
protected:
  /// Appends \p Count bytes, \p Piece at a time, and returns them.
  std::string append(std::size_t Count, std::size_t Piece) {
    std::string Text;
    for (std::size_t I = 0; I < Count; ++I)
      Text += static_cast<char>('a' + I % 26);
    for (std::size_t I = 0; I < Count; I += Piece)
      Blocks.append(std::string_view(Text).substr(I, Piece));
    return Text;
  }

  body_blocks Blocks;
};

} // namespace

TEST_F(body_blocks_test, bodyOfManyBlocks_isWhole) {
  constexpr std::size_t Count = 3 * body_blocks::BlockBytes + 17;
  std::string Text = append(Count, 1000);
  EXPECT_EQ(Count, Blocks.size());
  EXPECT_EQ(Text, Blocks.take());
  EXPECT_EQ(0U, Blocks.size());
}

TEST_F(body_blocks_test, pieceLongerThanABlock_isWhole) {
  constexpr std::size_t Count = 2 * body_blocks::BlockBytes + 5;
  std::string Text = append(Count, Count);
  EXPECT_EQ(Text, Blocks.take());
}

TEST_F(body_blocks_test, emptyBody_isEmpty) { EXPECT_EQ("", Blocks.take()); }

TEST_F(body_blocks_test, smallBody_keepsNoBlock) {
  append(100, 7);
  EXPECT_LT(Blocks.take().capacity(), 200U);
}

TEST_F(body_blocks_test, knownLength_isHeldInOneBlock) {
  constexpr std::size_t Count = 5 * body_blocks::BlockBytes;
  Blocks.expect(Count);
  std::string Text = append(Count, 4096);
  EXPECT_EQ(Text, Blocks.take());
}

TEST_F(body_blocks_test, takenBody_canBeFollowedByAnother) {
  append(10, 10);
  Blocks.take();
  std::string Text = append(20, 3);
  EXPECT_EQ(Text, Blocks.take());
}
