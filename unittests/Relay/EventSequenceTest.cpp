#include "bluebellkeel/Relay.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class event_sequence_test : public testing::Test {
protected:
  static stream_event event(std::uint64_t Number) {
    return {Number, std::to_string(Number) + ";"};
  }
};

} // namespace

TEST_F(event_sequence_test, eventsAlreadyReceived_areSkipped) {
  event_sequence Sequence(2);
  EXPECT_EQ(contiguous_events("3;", false),
            Sequence.takeContiguous({event(1), event(2), event(3)}));
  EXPECT_EQ(3U, Sequence.last());
}

TEST_F(event_sequence_test, missingEvent_stopsForwarding) {
  event_sequence Sequence(1);
  EXPECT_EQ(contiguous_events("2;", true),
            Sequence.takeContiguous({event(2), event(4)}));
  EXPECT_EQ(2U, Sequence.last());
}

TEST_F(event_sequence_test, eventsWithoutNumbers_areForwardedInArrivalOrder) {
  event_sequence Sequence(std::nullopt);
  EXPECT_EQ(
      contiguous_events("ab", false),
      Sequence.takeContiguous({{std::nullopt, "a"}, {std::nullopt, "b"}}));
  EXPECT_FALSE(Sequence.last());
}

RC_GTEST_FIXTURE_PROP(event_sequence_test,
                      anyAttempts_ofOneStream_areForwardedOnceAndInOrder,
                      (const std::vector<std::uint8_t> &Starts)) {
  constexpr std::uint64_t Length = 5;
  event_sequence Sequence(0);
  std::string Forwarded;
  for (std::uint8_t Start : Starts) {
    std::vector<stream_event> Events;
    for (std::uint64_t I = 1; I <= Length; ++I)
      Events.push_back(event(Start % 20 + I));
    Forwarded += Sequence.takeContiguous(Events).bytes();
  }
  std::string Expected;
  for (std::uint64_t I = 1; I <= Sequence.last().value_or(0); ++I)
    Expected += event(I).bytes();
  RC_ASSERT(Forwarded == Expected);
}
