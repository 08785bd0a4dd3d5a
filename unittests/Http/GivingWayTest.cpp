#include "GivingWay.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class giving_way_test : public testing::Test {
protected:
  using phase = connection_phase;

  /// Adds a connection that has been in \p Phase for \p Age, and has
  /// transferred bytes \p Pause ago.
  void add(phase Phase, milliseconds Age, milliseconds Pause) {
    Connections.push_back(connection_state(Phase, Now - Age)
                              .withProgressAt(Now - Pause)
                              .withHeld(1000));
  }
  /// Returns the positions of those that end for \p Count connections.
  std::vector<std::size_t> choose(shortage Shortage, std::size_t Count) const {
    return giving_way::choose(Connections, Shortage, room(Count, 0), Now);
  }

  using positions = std::vector<std::size_t>;

  static constexpr std::size_t All = 100;

  const monotonic_time Now{seconds(1000)};
  std::vector<connection_state> Connections;
};

} // namespace

// Guards against ordinary callers that lose their connections to those that
// never end a request.
TEST_F(giving_way_test, stalledRequest_endsBeforeIdleConnection) {
  add(phase::Idle, seconds(30), seconds(30));
  add(phase::Receiving, seconds(2), milliseconds(1500));
  EXPECT_EQ(positions({1, 0}), choose(shortage::Soon, All));
  EXPECT_EQ(positions({1}), choose(shortage::Soon, 1));
}

// Guards against a slow caller that is taken for one that has stopped.
TEST_F(giving_way_test, longRequestThatArrives_outlastsYoungerStalledOne) {
  add(phase::Receiving, seconds(20), milliseconds(50));
  add(phase::Receiving, seconds(2), milliseconds(1200));
  EXPECT_EQ(positions({1}), choose(shortage::Soon, All));
  EXPECT_EQ(positions({1, 0}), choose(shortage::Now, All));
}

TEST_F(giving_way_test, requestThatHasJustBegun_givesWayToWholeRequestsOnly) {
  add(phase::Receiving, milliseconds(200), milliseconds(100));
  EXPECT_EQ(positions(), choose(shortage::Now, All));
  EXPECT_EQ(positions({0}), choose(shortage::ForWholeRequest, All));
}

// Guards against responses that are cut though there is room.
TEST_F(giving_way_test, stalledResponse_isCutOnlyIfNothingIsLeft) {
  add(phase::Sending, seconds(5), seconds(2));
  add(phase::Sending, seconds(5), milliseconds(300));
  EXPECT_EQ(positions(), choose(shortage::Soon, All));
  EXPECT_EQ(positions({0}), choose(shortage::Now, All));
}

TEST_F(giving_way_test, runningRequests_neverEnd) {
  add(phase::Serving, seconds(60), seconds(60));
  for (shortage Shortage :
       {shortage::Soon, shortage::Now, shortage::ForWholeRequest})
    EXPECT_EQ(positions(), choose(Shortage, All));
}

TEST_F(giving_way_test, lastResponse_canBeReadForAWhile) {
  add(phase::Lingering, milliseconds(100), milliseconds(100));
  add(phase::Lingering, milliseconds(400), milliseconds(400));
  EXPECT_EQ(positions({1}), choose(shortage::Now, All));
}

TEST_F(giving_way_test, equalPlaces_endInTheOrderOfTheirPauses) {
  add(phase::Receiving, seconds(9), milliseconds(1100));
  add(phase::Receiving, seconds(2), milliseconds(1900));
  add(phase::Idle, seconds(1), seconds(1));
  add(phase::Idle, seconds(3), seconds(3));
  EXPECT_EQ(positions({1, 0, 3, 2}), choose(shortage::Soon, All));
}

// Guards against further connections that end while enough of them already do.
TEST_F(giving_way_test, connectionsThatEndAlready_countAsRoom) {
  add(phase::Receiving, seconds(3), seconds(3));
  add(phase::Receiving, seconds(2), seconds(2));
  Connections[0] = Connections[0].givingWay();
  EXPECT_EQ(positions(), choose(shortage::Soon, 1));
  EXPECT_EQ(positions({1}), choose(shortage::Soon, 2));
  EXPECT_EQ(1U, giving_way::pending(Connections).connections());
  EXPECT_LE(1000U, giving_way::pending(Connections).bytes());
}

TEST_F(giving_way_test, bytesNeeded_endAsManyAsHoldThem) {
  for (int I = 0; I < 3; ++I)
    add(phase::Receiving, seconds(3), seconds(3));
  std::size_t OfOne = giving_way::pending({Connections[0].givingWay()}).bytes();
  EXPECT_EQ(2U, giving_way::choose(Connections, shortage::Now,
                                   room(0, OfOne + 1), Now)
                    .size());
}
