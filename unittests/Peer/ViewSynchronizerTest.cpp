#include "Support/ManualClock.h"
#include "bluebellkeel/Peer.h"
#include <deque>
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

/// Keeps the queries that are sent, for the test to answer.
class recording_link final : public peer_link {
public:
  void sendQuery(const instance_record & /*Peer*/, peer_body Query,
                 callback Done) override {
    Queries.push_back(std::get<view_query>(Query));
    Callbacks.push_back(std::move(Done));
  }
  void sendOneWay(const instance_record & /*Peer*/,
                  peer_body /*Message*/) override {}
  void answer(const std::optional<peer_body> &Body) {
    auto Done = std::move(Callbacks.front());
    Callbacks.pop_front();
    Done(Body);
  }

  std::vector<view_query> Queries;
  std::deque<callback> Callbacks;
};

class noop_keyed_listener final : public keyed_listener {
public:
  void onRecordChanged(const keyed_record & /*Record*/) override {}
  bool ordersByValue(const std::string & /*Key*/) const override {
    return false;
  }
};

class counting_view_listener final : public view_listener {
public:
  void onRecordsFetched(keyed_topic /*Topic*/,
                        const keyed_page & /*Page*/) override {
    ++Count;
  }
  int Count = 0;
};

class view_synchronizer_test : public testing::Test {
protected:
  view_synchronizer_test() { View.apply(pageTo(5)); }

  static keyed_page pageTo(std::uint64_t End) {
    return keyed_page({keyed_record("k", "v", log_offset(End))},
                      log_offset(End));
  }
  static view_state stateOf(std::uint64_t End, int AgeMs) {
    return view_state(log_offset(End), milliseconds(AgeMs));
  }
  std::optional<milliseconds> age() const {
    return Freshness.age(Clock.monotonicNow());
  }

  manual_clock Clock;
  noop_keyed_listener Listener;
  keyed_view View{Listener};
  log_freshness Freshness;
  recording_link Link;
  counting_view_listener Fetched;
  instance_record Peer{instance_id("peer"), data_centre_id("north"),
                       network_address("10.0.0.1", 1),
                       network_address("10.0.0.1", 2), instance_state::Live};
  view_synchronizer Synchronizer{
      keyed_topic::Upstreams, View, Freshness, Link, Clock, Fetched};
};

} // namespace

TEST_F(view_synchronizer_test, stateThatCameUnasked_isOfUnknownAge) {
  Synchronizer.compare(Peer, stateOf(5, 100), std::nullopt);
  EXPECT_EQ(std::nullopt, age());
}

TEST_F(view_synchronizer_test, stateInALateAnswer_isAsOldAsItsQuery) {
  auto AskedAt = Clock.monotonicNow();
  Clock.advance(milliseconds(900));
  Synchronizer.compare(Peer, stateOf(5, 100), AskedAt);
  EXPECT_EQ(milliseconds(1000), age());
}

TEST_F(view_synchronizer_test, peerThatIsAhead_recordsAreFetched) {
  Synchronizer.compare(Peer, stateOf(7, 0), std::nullopt);
  ASSERT_EQ(1U, Link.Queries.size());
  EXPECT_EQ(view_query(keyed_topic::Upstreams, log_offset(5)), Link.Queries[0]);
  Clock.advance(milliseconds(200));
  Link.answer(view_answer(keyed_topic::Upstreams, pageTo(8), milliseconds(50)));
  EXPECT_EQ(log_offset(8), View.end());
  EXPECT_EQ(milliseconds(250), age());
  EXPECT_EQ(1, Fetched.Count);
}

TEST_F(view_synchronizer_test, peerThatIsAhead_doesNotMakeTheViewFresh) {
  Synchronizer.compare(Peer, stateOf(7, 0), Clock.monotonicNow());
  EXPECT_EQ(std::nullopt, age());
}

TEST_F(view_synchronizer_test, answerOfUnknownAge_bringsRecordsOnly) {
  Synchronizer.compare(Peer, stateOf(7, 0), Clock.monotonicNow());
  Link.answer(view_answer(keyed_topic::Upstreams, pageTo(7), std::nullopt));
  EXPECT_EQ(log_offset(7), View.end());
  EXPECT_EQ(std::nullopt, age());
}

TEST_F(view_synchronizer_test, answerForOtherTopic_changesNothing) {
  Synchronizer.compare(Peer, stateOf(7, 0), std::nullopt);
  Link.answer(view_answer(keyed_topic::Settings, pageTo(7), milliseconds(0)));
  EXPECT_EQ(log_offset(5), View.end());
  EXPECT_EQ(0, Fetched.Count);
}

TEST_F(view_synchronizer_test, fetchInProgress_isNotRepeatedBeforeItsTimeout) {
  Synchronizer.compare(Peer, stateOf(7, 0), std::nullopt);
  Clock.advance(milliseconds(299));
  Synchronizer.compare(Peer, stateOf(7, 0), std::nullopt);
  EXPECT_EQ(1U, Link.Queries.size());
  Clock.advance(milliseconds(1));
  Synchronizer.compare(Peer, stateOf(7, 0), std::nullopt);
  EXPECT_EQ(2U, Link.Queries.size());
  Link.answer(std::nullopt);
  Synchronizer.compare(Peer, stateOf(7, 0), std::nullopt);
  EXPECT_EQ(3U, Link.Queries.size());
}

TEST_F(view_synchronizer_test, logThatResponded_isNotReplacedByPeers) {
  Freshness.noteLogRead(Clock.monotonicNow());
  Synchronizer.compare(Peer, stateOf(7, 0), std::nullopt);
  EXPECT_TRUE(Link.Queries.empty());
  Clock.advance(milliseconds(1201));
  Synchronizer.compare(Peer, stateOf(7, 0), std::nullopt);
  EXPECT_EQ(1U, Link.Queries.size());
}

TEST_F(view_synchronizer_test, answer_holdsRecordsAndAgeOfTheView) {
  Freshness.noteLogRead(Clock.monotonicNow());
  Clock.advance(milliseconds(400));
  EXPECT_EQ(view_answer(keyed_topic::Upstreams, pageTo(5), milliseconds(400)),
            Synchronizer.answer(log_offset(4)));
  EXPECT_EQ(stateOf(5, 400), Synchronizer.state());
}

TEST_F(view_synchronizer_test, peerOfAnEarlierEra_saysNothingAboutTheAge) {
  View.replace(keyed_page({}, log_position(1, log_offset(2))));
  Synchronizer.compare(Peer, stateOf(9, 100), Clock.monotonicNow());
  EXPECT_EQ(std::nullopt, age());
  EXPECT_TRUE(Link.Queries.empty());
}

TEST_F(view_synchronizer_test, peerOfALaterEra_recordsAreFetched) {
  Synchronizer.compare(
      Peer, view_state(log_position(1, log_offset(2)), milliseconds(0)),
      std::nullopt);
  ASSERT_EQ(1U, Link.Queries.size());
  Link.answer(view_answer(keyed_topic::Upstreams,
                          keyed_page({}, log_position(1, log_offset(2)),
                                     keyed_page::scope::AllKeys),
                          milliseconds(0)));
  EXPECT_EQ(log_position(1, log_offset(2)), View.end());
  EXPECT_TRUE(View.find("k")->isDeleted());
}
