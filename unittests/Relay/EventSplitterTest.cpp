#include "bluebellkeel/Relay/EventSplitter.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class event_splitter_test : public testing::Test {
protected:
  event_splitter Splitter;
};

} // namespace

TEST_F(event_splitter_test, boundaryAcrossPieces_isFound) {
  for (const std::string Boundary : {"\n\n", "\r\n\r\n"}) {
    std::string Event = "id: 7\ndata: x" + Boundary;
    std::size_t Events = 0;
    for (char Byte : Event + Event)
      Events += Splitter.feed(std::string(1, Byte)).size();
    EXPECT_EQ(2U, Events);
    EXPECT_EQ("", Splitter.remainder());
  }
}

TEST_F(event_splitter_test, bytesAfterAnEvent_remain) {
  auto Events = Splitter.feed("id: 1\ndata: x\n\nid: 2");
  ASSERT_EQ(1U, Events.size());
  EXPECT_EQ("id: 2", Splitter.remainder());
  EXPECT_FALSE(Splitter.overflowed());
}

TEST_F(event_splitter_test, bytesWithoutABoundary_overflow) {
  std::string Piece(event_splitter::MaxEventBytes, 'x');
  Splitter.feed(Piece);
  EXPECT_FALSE(Splitter.overflowed());
  Splitter.feed("x");
  EXPECT_TRUE(Splitter.overflowed());
  Splitter.clear();
  EXPECT_FALSE(Splitter.overflowed());
}

RC_GTEST_FIXTURE_PROP(event_splitter_test, bytesSplitAnywhere_yieldSameEvents,
                      ()) {
  std::string Bytes;
  for (int Number = 1; Number < 6; ++Number)
    Bytes += "id: " + std::to_string(Number) + "\ndata: a b\n\n";
  event_splitter Reference;
  auto Expected = Reference.feed(Bytes);
  event_splitter Incremental;
  std::vector<stream_event> Events;
  std::size_t At = 0;
  while (At < Bytes.size()) {
    auto Size = *rc::gen::inRange<std::size_t>(1, 9);
    for (auto &Event :
         Incremental.feed(std::string_view(Bytes).substr(At, Size)))
      Events.push_back(Event);
    At += Size;
  }
  RC_ASSERT(Events == Expected);
  RC_ASSERT(Incremental.remainder().empty());
}
