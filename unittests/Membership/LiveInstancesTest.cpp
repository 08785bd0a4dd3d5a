#include "Support/ManualClock.h"
#include "bluebellkeel/Membership.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class live_instances_test : public testing::Test {
protected:
  static instance_record record(const std::string &Id,
                                const std::string &Centre = "north",
                                std::uint16_t Port = 1) {
    return instance_record(instance_id(Id), data_centre_id(Centre),
                           network_address("10.0.0.1", Port),
                           network_address("10.0.0.1", 99),
                           instance_state::Live);
  }

  static std::vector<instance_id> sorted(std::vector<instance_id> Ids) {
    std::sort(Ids.begin(), Ids.end());
    return Ids;
  }

  manual_clock Clock;
  live_instances Instances{Clock};
};

} // namespace

TEST_F(live_instances_test, instance_onlyMentioned_isKnownButNotAlive) {
  Instances.recordMention(record("a"));
  EXPECT_EQ(1U, Instances.knownInstances().size());
  EXPECT_TRUE(Instances.alive().empty());
}

TEST_F(live_instances_test, instance_silentForThreeSeconds_isNotAlive) {
  Instances.recordContact(record("a"));
  EXPECT_EQ(1U, Instances.alive().size());
  // The platform lets the directory's answers name a dead instance for at most
  // 6 s: its contact time of 3 s, after which the instance counts as out of
  // contact, plus 3 s.
  Clock.advance(milliseconds(3000));
  EXPECT_TRUE(Instances.alive().empty());
  EXPECT_EQ(1U, Instances.knownInstances().size());
}

TEST_F(live_instances_test, instance_silentPastForgetAfter_isForgotten) {
  Instances.recordContact(record("a"));
  Clock.advance(live_instances::ForgetAfter + milliseconds(1));
  EXPECT_TRUE(Instances.knownInstances().empty());
}

TEST_F(live_instances_test, ownRecord_afterMentionByPeer_isKept) {
  Instances.recordContact(record("a", "north", 7));
  Instances.recordMention(record("a", "north", 8));
  EXPECT_EQ(7, Instances.alive()[0].callerAddress().port());
}

TEST_F(live_instances_test,
       selection_withEnoughLocalInstances_hasOnlyLocalAddresses) {
  auto Addresses = nearest_address_selector::selectAddresses(
      {record("a", "north", 1), record("b", "north", 2),
       record("c", "south", 3)},
      data_centre_id("north"));
  EXPECT_EQ(2U, Addresses.size());
}

TEST_F(live_instances_test,
       selection_withFewLocalInstances_includesRemoteAddresses) {
  auto Addresses = nearest_address_selector::selectAddresses(
      {record("a", "north", 1), record("c", "south", 3)},
      data_centre_id("north"));
  ASSERT_EQ(2U, Addresses.size());
  EXPECT_EQ(1, Addresses[0].port());
}

TEST_F(live_instances_test,
       closedCentre_afterReopening_isRecentForGracePeriod) {
  closed_data_centres Centres(Clock);
  data_centre_id North("north");
  Centres.replace({North});
  EXPECT_TRUE(Centres.closed(North));
  EXPECT_FALSE(Centres.reopenedRecently(North));
  Centres.replace({});
  EXPECT_FALSE(Centres.closed(North));
  EXPECT_TRUE(Centres.reopenedRecently(North));
  Clock.advance(closed_data_centres::ReopenGracePeriod);
  EXPECT_FALSE(Centres.reopenedRecently(North));
}

TEST_F(live_instances_test, report_byPeer_makesInstanceAliveAndSetsState) {
  Instances.recordRegistration(record("a"));
  Instances.recordReport(liveness_report(instance_id("a"), milliseconds(300),
                                         instance_state::Leaving));
  ASSERT_EQ(1U, Instances.alive().size());
  EXPECT_EQ(instance_state::Leaving, Instances.alive()[0].state());
  Clock.advance(live_instances::SilenceLimit - milliseconds(200));
  EXPECT_TRUE(Instances.alive().empty());
}

TEST_F(live_instances_test, report_olderThanContact_changesNothing) {
  Instances.recordContact(record("a"));
  Instances.recordReport(liveness_report(instance_id("a"), milliseconds(300),
                                         instance_state::Leaving));
  EXPECT_EQ(instance_state::Live, Instances.alive()[0].state());
}

TEST_F(live_instances_test, registeredInstance_neverSeen_isSender) {
  Instances.recordRegistration(record("a"));
  Clock.advance(live_instances::ForgetAfter * 2);
  EXPECT_EQ(1U, Instances.senders().size());
  EXPECT_EQ(1U, Instances.knownInstances().size());
}

TEST_F(live_instances_test, registeredInstance_silentAfterContact_isNotSender) {
  Instances.recordRegistration(record("a"));
  Instances.recordContact(record("a"));
  Clock.advance(live_instances::SenderTimeout + milliseconds(1));
  EXPECT_TRUE(Instances.senders().empty());
}

TEST_F(live_instances_test,
       rateSharers_untilRegistrationsAreRead_areIncompleteForAWhile) {
  EXPECT_FALSE(Instances.rateSharers().complete());
  Clock.advance(live_instances::SilenceLimit + milliseconds(1));
  EXPECT_TRUE(Instances.rateSharers().complete());
  live_instances Fresh(Clock);
  Fresh.noteRegistrationsRead();
  EXPECT_TRUE(Fresh.rateSharers().complete());
}

TEST_F(live_instances_test, rateSharers_minorityLost_leavesItOut) {
  for (const char *Id : {"a", "b", "c"})
    Instances.recordContact(record(Id));
  Clock.advance(live_instances::SenderTimeout + milliseconds(1));
  Instances.recordContact(record("a"));
  Instances.recordContact(record("b"));
  EXPECT_EQ((std::vector<instance_id>{instance_id("a"), instance_id("b")}),
            sorted(Instances.rateSharers().instances()));
}

TEST_F(live_instances_test, rateSharers_majorityLost_keepsCountingIt) {
  for (const char *Id : {"a", "b", "c"})
    Instances.recordContact(record(Id));
  Clock.advance(live_instances::SenderTimeout + milliseconds(1));
  Instances.recordContact(record("a"));
  EXPECT_EQ(3U, Instances.rateSharers().instances().size());
}

TEST_F(live_instances_test, instanceNoLongerRegistered_staysAliveWhileSeen) {
  Instances.recordRegistration(record("a"));
  Instances.recordContact(record("a"));
  Instances.noteUnregistered(instance_id("a"));
  EXPECT_EQ(1U, Instances.alive().size());
  Clock.advance(live_instances::ForgetAfter + milliseconds(1));
  EXPECT_TRUE(Instances.knownInstances().empty());
}
