#include "Support/ListingOf.h"
#include "Support/ManualClock.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class upstream_registry_test : public testing::Test {
protected:
  bool insertIfNewer(std::uint64_t Incarnation, std::uint64_t Sequence,
                     bool Leaving = false) {
    auto Fields = listingOf("u");
    Fields.Incarnation = Incarnation;
    Fields.Sequence = Sequence;
    Fields.Leaving = Leaving;
    return Registry.insertIfNewer(upstream_listing(Fields));
  }
  std::size_t serving() {
    return Registry.serving(service_id("engines")).size();
  }

  manual_clock Clock;
  upstream_registry Registry{Clock};
  registry_updater Updater{Registry, Clock};
};

} // namespace

TEST_F(upstream_registry_test, leaving_onceSeen_isNotUndoneByALateListing) {
  EXPECT_TRUE(insertIfNewer(1, 5));
  EXPECT_TRUE(insertIfNewer(1, 6, /*Leaving=*/true));
  EXPECT_FALSE(insertIfNewer(1, 5));
  EXPECT_FALSE(insertIfNewer(1, 7));
  EXPECT_EQ(0U, serving());
}

TEST_F(upstream_registry_test, leaving_thenANewIncarnation_servesAgain) {
  insertIfNewer(1, 6, /*Leaving=*/true);
  EXPECT_TRUE(insertIfNewer(2, 1));
  EXPECT_EQ(1U, serving());
}

TEST_F(upstream_registry_test, removed_thenListedByAnOldRecord_staysRemoved) {
  insertIfNewer(1, 5);
  Registry.remove(upstream_id("u"));
  EXPECT_FALSE(insertIfNewer(1, 5));
  EXPECT_EQ(0U, serving());
  EXPECT_TRUE(insertIfNewer(1, 6));
  EXPECT_EQ(1U, serving());
}

TEST_F(upstream_registry_test,
       removedWhileLeaving_thenListedAgain_staysRemoved) {
  insertIfNewer(1, 5, /*Leaving=*/true);
  Registry.remove(upstream_id("u"));
  EXPECT_FALSE(insertIfNewer(1, 9));
  EXPECT_EQ(0U, serving());
}

TEST_F(upstream_registry_test, replacedAtItsAddress_isRemoved) {
  insertIfNewer(1, 1);
  Registry.noteReplaced(upstream_id("u"), network_address("10.0.0.9", 1));
  EXPECT_EQ(1U, serving());
  Registry.noteReplaced(upstream_id("u"), network_address("10.0.0.1", 8000));
  EXPECT_EQ(0U, serving());
}

TEST_F(upstream_registry_test, renewedListing_isNoChange) {
  insertIfNewer(1, 1);
  std::uint64_t Known = Registry.changes();
  insertIfNewer(1, 2);
  EXPECT_EQ(Known, Registry.changes());
  insertIfNewer(1, 3, /*Leaving=*/true);
  EXPECT_LT(Known, Registry.changes());
}

TEST_F(upstream_registry_test, additionsAndRemovals_areChanges) {
  std::uint64_t Before = Registry.changes();
  insertIfNewer(1, 1);
  std::uint64_t Listed = Registry.changes();
  EXPECT_LT(Before, Listed);
  Registry.remove(upstream_id("u"));
  EXPECT_LT(Listed, Registry.changes());
}

TEST_F(upstream_registry_test, coldLeft_fromTheListing_endsOnTime) {
  auto Fields = listingOf("u");
  Fields.ColdLeft = milliseconds(500);
  Registry.insertIfNewer(upstream_listing(Fields));
  auto Entry = Registry.find(upstream_id("u"));
  EXPECT_EQ(Clock.monotonicNow() + milliseconds(500), Entry->coldUntil());
}

TEST_F(upstream_registry_test,
       unlisted_whileTheLogIsAvailable_isRemovedAtOnce) {
  Updater.applyListing(upstream_listing(listingOf("u")));
  Updater.applyRemoval(upstream_id("u"));
  EXPECT_EQ(0U, serving());
}

TEST_F(upstream_registry_test,
       unlisted_afterTheLogReturns_isRemovedUnlessRenewed) {
  Updater.applyListing(upstream_listing(listingOf("u")));
  Updater.applyListing(upstream_listing(listingOf("w")));
  Updater.logReconnected();
  Updater.applyRemoval(upstream_id("u"));
  Updater.applyRemoval(upstream_id("w"));
  EXPECT_EQ(2U, serving());
  auto Fields = listingOf("w");
  Fields.Sequence = 2;
  Updater.applyListing(upstream_listing(Fields));
  Clock.advance(registry_updater::ReconnectGrace);
  EXPECT_EQ(std::vector<upstream_id>{upstream_id("u")},
            Updater.removeExpired());
  EXPECT_EQ(1U, serving());
}

TEST_F(upstream_registry_test,
       unlisted_byTheFirstReadAfterALoss_isRemovedAfterTheGrace) {
  Updater.applyListing(upstream_listing(listingOf("u")));
  Updater.logReconnecting();
  Updater.applyRemoval(upstream_id("u"));
  Updater.logReconnected();
  EXPECT_TRUE(Updater.removeExpired().empty());
  EXPECT_EQ(1U, serving());
  Clock.advance(registry_updater::ReconnectGrace);
  EXPECT_EQ(1U, Updater.removeExpired().size());
  EXPECT_EQ(0U, serving());
}

TEST_F(upstream_registry_test, unlisted_whileTheLogStaysUnavailable_isRemoved) {
  Updater.applyListing(upstream_listing(listingOf("u")));
  Updater.logReconnecting();
  Updater.applyRemoval(upstream_id("u"));
  Updater.logUnavailable();
  EXPECT_EQ(1U, Updater.removeExpired().size());
  EXPECT_EQ(0U, serving());
}

TEST_F(upstream_registry_test, outageOfTwoRenewals_mayHaveExpiredListings) {
  milliseconds Interval(1200);
  EXPECT_FALSE(registry_updater::mayHaveExpired(milliseconds(2399), Interval));
  EXPECT_TRUE(registry_updater::mayHaveExpired(milliseconds(2400), Interval));
  EXPECT_TRUE(registry_updater::mayHaveExpired(std::nullopt, Interval));
}

RC_GTEST_FIXTURE_PROP(upstream_registry_test, listings_inAnyOrder_newestIsKept,
                      ()) {
  using listing = std::pair<std::uint8_t, std::uint8_t>;
  auto Listings = *rc::gen::nonEmpty<std::vector<listing>>();
  for (auto [Incarnation, Sequence] : Listings)
    insertIfNewer(Incarnation, Sequence);
  auto Newest = *std::max_element(Listings.begin(), Listings.end());
  auto Entry = Registry.find(upstream_id("u"));
  RC_ASSERT(Entry->listing().incarnation() == Newest.first);
  RC_ASSERT(Entry->listing().sequence() == Newest.second);
}
