#include "Support/ForwardFixture.h"

using namespace bluebellkeel;

namespace {

/// Other requests hold all memory but for some kilobytes.
class forward_memory_test : public forward_fixture {
protected:
  static constexpr std::size_t LeftBytes = 2000;

  forward_memory_test() {
    EXPECT_TRUE(Others.growTo(Memory.limit() - LeftBytes));
  }

  memory_reservation Others{Memory, memory_use::Urgent};
};

} // namespace

// Guards against a response that is lost because it can't be buffered.
TEST_F(forward_memory_test, longResponse_isPassedOnPieceByPiece) {
  upstream_script Script;
  Script.Pieces = {std::string(4000, 'a'), std::string(4000, 'b')};
  script({Script});
  auto Caller = run("/once/x");
  EXPECT_EQ(std::string(4000, 'a') + std::string(4000, 'b'), Caller.Body);
  EXPECT_TRUE(Caller.Ended);
  EXPECT_EQ(Memory.limit() - LeftBytes, Memory.held());
}

TEST_F(forward_memory_test, streamOfSmallEvents_isPassedOn) {
  upstream_script Script;
  Script.Pieces = {event(1) + event(2), event(3)};
  script({Script});
  auto Caller = run("/fixed/x");
  EXPECT_EQ(event(1) + event(2) + event(3), Caller.Body);
  EXPECT_TRUE(Caller.Ended);
}

// Guards against a stream that looks complete though events are missing, and
// against taking the own shortage for a fault of the upstream.
TEST_F(forward_memory_test, streamWithLargeEvent_isAbandoned) {
  upstream_script Script;
  Script.Pieces = {event(1), "id: 2\ndata: " + std::string(8000, 'x')};
  script({Script});
  auto Caller = run("/fixed/x");
  EXPECT_EQ(event(1), Caller.Body);
  EXPECT_TRUE(Caller.Abandoned);
  EXPECT_EQ(1U, Upstreams.Attempts.size());
}

// Guards against a refusal that promises that a request has not run.
TEST_F(forward_memory_test, streamThatBeginsWithLargeEvent_promisesNothing) {
  upstream_script Script;
  Script.Pieces = {"id: 1\ndata: " + std::string(8000, 'x')};
  script({Script});
  auto Caller = run("/fixed/x");
  EXPECT_EQ(refusal_reason::MemoryFull, Caller.Reason);
  EXPECT_EQ(502, Caller.Status);
}

// Guards against buffers that take the memory of further requests piece by
// piece.
TEST_F(forward_memory_test, announcedBodyWithoutRoom_isPassedOnAtOnce) {
  upstream_script Script;
  Script.BodyBytes = 300;
  Script.Pieces = {std::string(150, 'a'), std::string(150, 'b')};
  script({Script});
  Others.growTo(Memory.limit());
  auto Caller = run("/once/x");
  EXPECT_EQ(std::string(150, 'a') + std::string(150, 'b'), Caller.Body);
  EXPECT_TRUE(Caller.Ended);
}

TEST_F(forward_memory_test, announcedBodyWithRoom_isReservedWhole) {
  Others.shrinkTo(0);
  upstream_script Script;
  Script.BodyBytes = 300;
  Script.Pieces = {std::string(150, 'a'), std::string(150, 'b')};
  std::vector<std::size_t> Held;
  Script.BeforeRead = [&] { Held.push_back(Memory.held()); };
  script({Script});
  auto Caller = run("/once/x");
  EXPECT_EQ(std::string(150, 'a') + std::string(150, 'b'), Caller.Body);
  EXPECT_EQ(std::vector<std::size_t>(3, 300), Held);
  EXPECT_EQ(0U, Memory.held());
}
