#include "Support/ListingOf.h"
#include "Support/ManualClock.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class upstream_roster_test : public testing::Test {
protected:
  bool learn(std::uint64_t Incarnation, std::uint64_t Sequence,
             bool Leaving = false) {
    auto Fields = listingOf("u");
    Fields.Incarnation = Incarnation;
    Fields.Sequence = Sequence;
    Fields.Leaving = Leaving;
    return Roster.learn(upstream_listing(Fields));
  }
  std::size_t serving() { return Roster.serving(service_id("engines")).size(); }

  manual_clock Clock;
  upstream_roster Roster{Clock};
  roster_keeper Keeper{Roster, Clock};
};

} // namespace

TEST_F(upstream_roster_test, leaving_onceSeen_isNotTakenBackByALateListing) {
  EXPECT_TRUE(learn(1, 5));
  EXPECT_TRUE(learn(1, 6, /*Leaving=*/true));
  EXPECT_FALSE(learn(1, 5));
  EXPECT_FALSE(learn(1, 7));
  EXPECT_EQ(0U, serving());
}

TEST_F(upstream_roster_test, leaving_thenANewStart_servesAgain) {
  learn(1, 6, /*Leaving=*/true);
  EXPECT_TRUE(learn(2, 1));
  EXPECT_EQ(1U, serving());
}

TEST_F(upstream_roster_test, removed_andListedByAnOldRecord_staysAway) {
  learn(1, 5);
  Roster.remove(upstream_id("u"));
  EXPECT_FALSE(learn(1, 5));
  EXPECT_EQ(0U, serving());
  EXPECT_TRUE(learn(1, 6));
  EXPECT_EQ(1U, serving());
}

TEST_F(upstream_roster_test, removedWhileLeaving_andListedAgain_staysAway) {
  learn(1, 5, /*Leaving=*/true);
  Roster.remove(upstream_id("u"));
  EXPECT_FALSE(learn(1, 9));
  EXPECT_EQ(0U, serving());
}

TEST_F(upstream_roster_test, replacedAtItsAddress_isRemoved) {
  learn(1, 1);
  Roster.noteReplaced(upstream_id("u"), network_address("10.0.0.9", 1));
  EXPECT_EQ(1U, serving());
  Roster.noteReplaced(upstream_id("u"), network_address("10.0.0.1", 8000));
  EXPECT_EQ(0U, serving());
}

TEST_F(upstream_roster_test, signsOfLife_areNoChanges) {
  learn(1, 1);
  std::uint64_t Known = Roster.changes();
  learn(1, 2);
  EXPECT_EQ(Known, Roster.changes());
  learn(1, 3, /*Leaving=*/true);
  EXPECT_LT(Known, Roster.changes());
}

TEST_F(upstream_roster_test, newOnesAndRemovals_areChanges) {
  std::uint64_t Before = Roster.changes();
  learn(1, 1);
  std::uint64_t Listed = Roster.changes();
  EXPECT_LT(Before, Listed);
  Roster.remove(upstream_id("u"));
  EXPECT_LT(Listed, Roster.changes());
}

TEST_F(upstream_roster_test, coldLeft_fromTheListing_endsOnTime) {
  auto Fields = listingOf("u");
  Fields.ColdLeft = milliseconds(500);
  Roster.learn(upstream_listing(Fields));
  auto Entry = Roster.find(upstream_id("u"));
  EXPECT_EQ(Clock.monotonicNow() + milliseconds(500), Entry->coldUntil());
}

TEST_F(upstream_roster_test, unlisted_withTheLogSteady_goesAtOnce) {
  Keeper.listed(upstream_listing(listingOf("u")));
  Keeper.unlisted(upstream_id("u"));
  EXPECT_EQ(0U, serving());
}

TEST_F(upstream_roster_test,
       unlisted_afterTheLogsReturn_goesOnlyIfItStaysAway) {
  Keeper.listed(upstream_listing(listingOf("u")));
  Keeper.listed(upstream_listing(listingOf("w")));
  Keeper.logReturned();
  Keeper.unlisted(upstream_id("u"));
  Keeper.unlisted(upstream_id("w"));
  EXPECT_EQ(2U, serving());
  auto Fields = listingOf("w");
  Fields.Sequence = 2;
  Keeper.listed(upstream_listing(Fields));
  Clock.advance(roster_keeper::ReturnGrace);
  EXPECT_EQ(std::vector<upstream_id>{upstream_id("u")}, Keeper.sweep());
  EXPECT_EQ(1U, serving());
}

TEST_F(upstream_roster_test, unlisted_byTheFirstAnswerAfterALoss_isWaitedFor) {
  Keeper.listed(upstream_listing(listingOf("u")));
  Keeper.logReturning();
  Keeper.unlisted(upstream_id("u"));
  Keeper.logReturned();
  EXPECT_TRUE(Keeper.sweep().empty());
  EXPECT_EQ(1U, serving());
  Clock.advance(roster_keeper::ReturnGrace);
  EXPECT_EQ(1U, Keeper.sweep().size());
  EXPECT_EQ(0U, serving());
}

TEST_F(upstream_roster_test, unlisted_byAPeerWhileTheLogStaysAway_goes) {
  Keeper.listed(upstream_listing(listingOf("u")));
  Keeper.logReturning();
  Keeper.unlisted(upstream_id("u"));
  Keeper.logAway();
  EXPECT_EQ(1U, Keeper.sweep().size());
  EXPECT_EQ(0U, serving());
}

RC_GTEST_FIXTURE_PROP(upstream_roster_test, listings_inAnyOrder_leaveTheNewest,
                      ()) {
  using listing = std::pair<std::uint8_t, std::uint8_t>;
  auto Listings = *rc::gen::nonEmpty<std::vector<listing>>();
  for (auto [Incarnation, Sequence] : Listings)
    learn(Incarnation, Sequence);
  auto Newest = *std::max_element(Listings.begin(), Listings.end());
  auto Entry = Roster.find(upstream_id("u"));
  RC_ASSERT(Entry->listing().incarnation() == Newest.first);
  RC_ASSERT(Entry->listing().sequence() == Newest.second);
}
