#include "Support/ManualClock.h"
#include "bluebellkeel/Journal.h"
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

/// Stores the records that it receives.
class recording_listener final : public keyed_listener {
public:
  void onRecordChanged(const keyed_record &Record) override {
    Records.push_back(Record);
  }
  bool ordersByValue(const std::string & /*Key*/) const override {
    return false;
  }
  std::vector<keyed_record> Records;
};

/// A log that returns prepared responses.
class scripted_log final : public keyed_log {
public:
  using result = tl::expected<keyed_page, journal_error>;

  result readLatest(keyed_topic /*Topic*/) override {
    ++LatestReads;
    return LatestResult;
  }
  result read(keyed_topic /*Topic*/, const log_position &After,
              milliseconds /*Wait*/) override {
    ReadAfter = After;
    if (WhileWaiting)
      WhileWaiting();
    result Result = Reads.front();
    Reads.pop_front();
    return Result;
  }
  tl::expected<log_position, journal_error>
  append(keyed_topic /*Topic*/, const std::string & /*Key*/,
         const std::string & /*Value*/,
         std::optional<log_offset> /*At*/) override {
    return tl::unexpected(journal_error::Unavailable);
  }

  int LatestReads = 0;
  result LatestResult;
  std::deque<result> Reads;
  log_position ReadAfter;
  /// Called before read() returns.
  std::function<void()> WhileWaiting;
};

class keyed_view_test : public testing::Test {
protected:
  static keyed_record record(const std::string &Key, const std::string &Value,
                             std::uint64_t Offset) {
    return keyed_record(Key, Value, log_offset(Offset));
  }
  static keyed_page page(std::vector<keyed_record> Records, std::uint64_t End) {
    return keyed_page(std::move(Records), log_offset(End));
  }

  manual_clock Clock;
  recording_listener Listener;
  keyed_view View{Listener};
  log_freshness Freshness;
  scripted_log Log;
  keyed_follower Follower{keyed_topic::Settings, View, Freshness, Clock};
};

} // namespace

TEST_F(keyed_view_test, olderRecord_ofKnownKey_changesNothing) {
  View.apply(page({record("a", "new", 5)}, 5));
  View.apply(page({record("a", "old", 3)}, 5));
  EXPECT_EQ(1U, Listener.Records.size());
  EXPECT_EQ("new", View.find("a")->value());
}

TEST_F(keyed_view_test, recordOfDeletedKey_fromPeerThatIsBehind_isIgnored) {
  View.replace(page({record("b", "2", 2)}, 7));
  View.apply(page({record("a", "1", 3)}, 5));
  EXPECT_FALSE(View.find("a"));
  View.apply(page({record("a", "2", 8)}, 8));
  EXPECT_EQ("2", View.find("a")->value());
}

TEST_F(keyed_view_test, replace_withPageLackingKey_deletesKey) {
  View.apply(page({record("a", "1", 1), record("b", "2", 2)}, 2));
  View.replace(page({record("b", "2", 2)}, 7));
  ASSERT_EQ(3U, Listener.Records.size());
  EXPECT_EQ("a", Listener.Records[2].name());
  EXPECT_TRUE(Listener.Records[2].isDeleted());
  EXPECT_EQ(log_offset(7), View.end());
}

TEST_F(keyed_view_test, replace_withOlderPage_keepsNewerRecords) {
  View.apply(page({record("a", "1", 9)}, 9));
  View.replace(page({}, 4));
  EXPECT_EQ("1", View.find("a")->value());
  EXPECT_EQ(log_offset(9), View.end());
}

TEST_F(keyed_view_test, since_endOfPeer_bringsPeerUpToDate) {
  View.apply(page({record("a", "1", 1), record("b", "2", 2)}, 2));
  View.apply(page({record("a", "", 3)}, 3));
  recording_listener Other;
  keyed_view Peer(Other);
  Peer.apply(page({record("a", "1", 1)}, 1));
  Peer.apply(View.since(Peer.end()));
  EXPECT_TRUE(Peer.find("a")->isDeleted());
  EXPECT_EQ("2", Peer.find("b")->value());
  EXPECT_EQ(View.end(), Peer.end());
}

TEST_F(keyed_view_test, since_ofViewReadAfterADeletion_deletesAtThePeer) {
  recording_listener Other;
  keyed_view Peer(Other);
  Peer.apply(page({record("a", "1", 1), record("b", "2", 2)}, 2));
  View.replace(page({record("b", "2", 2)}, 3));
  Peer.apply(View.since(Peer.end()));
  EXPECT_TRUE(Peer.find("a")->isDeleted());
  EXPECT_EQ("2", Peer.find("b")->value());
}

TEST_F(keyed_view_test, since_acrossTwoViews_deletesAtTheLast) {
  recording_listener Other;
  keyed_view Middle(Other);
  keyed_view Last(Other);
  Middle.apply(page({record("b", "2", 2)}, 2));
  Last.apply(page({record("a", "1", 1)}, 1));
  View.replace(page({record("b", "2", 2)}, 3));
  Middle.apply(View.since(Middle.end()));
  Last.apply(Middle.since(Last.end()));
  EXPECT_TRUE(Last.find("a")->isDeleted());
}

TEST_F(keyed_view_test, since_endAfterTheLastFullRead_holdsChangesOnly) {
  View.replace(page({record("a", "1", 1), record("b", "2", 2)}, 3));
  View.apply(page({record("a", "3", 4)}, 4));
  EXPECT_EQ(page({record("a", "3", 4)}, 4), View.since(log_offset(3)));
}

RC_GTEST_FIXTURE_PROP(keyed_view_test,
                      anyRestartsAndFetches_everyViewFollowsTheLog, ()) {
  constexpr int ViewCount = 3;
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  std::vector<keyed_record> Written;
  auto Newest = [&Written] {
    std::map<std::string, keyed_record> Live;
    for (const auto &Record : Written) {
      Live.erase(Record.name());
      if (!Record.isDeleted())
        Live.emplace(Record.name(), Record);
    }
    return Live;
  };
  std::vector<std::unique_ptr<keyed_view>> Views(ViewCount);
  // Answers of peers that a view has not yet received.
  std::vector<std::optional<keyed_page>> Answers(ViewCount);
  auto Restart = [&](std::size_t Index) {
    std::vector<keyed_record> All;
    for (const auto &[Key, Record] : Newest())
      All.push_back(Record);
    Views[Index] = std::make_unique<keyed_view>(Listener);
    Views[Index]->replace(page(std::move(All), Written.size()));
  };
  auto Receive = [&](std::size_t Index) {
    if (Answers[Index])
      Views[Index]->apply(*Answers[Index]);
    Answers[Index].reset();
  };
  for (std::size_t Index = 0; Index < Views.size(); ++Index)
    Restart(Index);
  for (int Step : Steps) {
    auto First = static_cast<std::size_t>(Step % ViewCount);
    auto Second = static_cast<std::size_t>(Step / 10 % ViewCount);
    std::string Key = "k" + std::to_string(Step / 100 % 4);
    switch (Step % 5) {
    case 0:
      Written.push_back(record(Key, "v", Written.size() + 1));
      break;
    case 1:
      Written.push_back(record(Key, "", Written.size() + 1));
      break;
    case 2:
      // A new instance asks a peer while it reads the log.
      Answers[First] = Views[Second]->since(log_offset());
      Restart(First);
      break;
    case 3:
      Answers[First] = Views[Second]->since(Views[First]->end());
      break;
    default:
      Receive(First);
    }
  }
  Restart(0);
  for (std::size_t Index = 1; Index < Views.size(); ++Index) {
    Receive(Index);
    Views[Index]->apply(Views[0]->since(Views[Index]->end()));
    auto Live = Newest();
    for (int Number = 0; Number < 4; ++Number) {
      std::string Key = "k" + std::to_string(Number);
      auto Found = Views[Index]->find(Key);
      bool IsLive = Found && !Found->isDeleted();
      RC_ASSERT(IsLive == (Live.count(Key) > 0));
    }
  }
}

TEST_F(keyed_view_test, poll_firstCall_readsAllKeysThenNewRecords) {
  Log.LatestResult = page({record("a", "1", 4)}, 6);
  EXPECT_TRUE(Follower.poll(Log, milliseconds(0)));
  Log.Reads = {page({record("a", "2", 7)}, 7)};
  EXPECT_TRUE(Follower.poll(Log, milliseconds(0)));
  EXPECT_EQ(log_offset(6), Log.ReadAfter);
  EXPECT_EQ("2", View.find("a")->value());
  EXPECT_EQ(1, Log.LatestReads);
}

TEST_F(keyed_view_test, poll_afterRecordsWereTrimmed_readsAllKeysAgain) {
  Log.LatestResult = page({record("a", "1", 4)}, 6);
  Follower.poll(Log, milliseconds(0));
  Log.Reads = {tl::unexpected(journal_error::Trimmed)};
  Log.LatestResult = page({record("b", "1", 20)}, 20);
  EXPECT_TRUE(Follower.poll(Log, milliseconds(0)));
  EXPECT_TRUE(View.find("a")->isDeleted());
  EXPECT_EQ("1", View.find("b")->value());
}

TEST_F(keyed_view_test, poll_onFailure_keepsFreshness) {
  Follower.poll(Log, milliseconds(0));
  auto Before = Freshness.completeAsOf();
  Clock.advance(milliseconds(5000));
  Log.Reads = {tl::unexpected(journal_error::Unavailable)};
  EXPECT_FALSE(Follower.poll(Log, milliseconds(0)));
  EXPECT_EQ(Before, Freshness.completeAsOf());
}

TEST_F(keyed_view_test, readWithoutRecords_afterItsWait_isCompleteAsOfItsEnd) {
  Follower.poll(Log, milliseconds(0));
  auto RequestedAt = Clock.monotonicNow();
  Log.WhileWaiting = [this] { Clock.advance(milliseconds(1050)); };
  Log.Reads = {page({}, 0)};
  EXPECT_TRUE(Follower.poll(Log, milliseconds(1000)));
  EXPECT_EQ(RequestedAt + milliseconds(1000), Freshness.completeAsOf());
}

TEST_F(keyed_view_test, readThatReturnsEarly_isCompleteAsOfItsRequest) {
  Follower.poll(Log, milliseconds(0));
  for (const auto &Page : {page({}, 0), page({record("a", "1", 1)}, 1)}) {
    auto RequestedAt = Clock.monotonicNow();
    Log.WhileWaiting = [this] { Clock.advance(milliseconds(990)); };
    Log.Reads = {Page};
    EXPECT_TRUE(Follower.poll(Log, milliseconds(1000)));
    EXPECT_EQ(RequestedAt, Freshness.completeAsOf());
  }
}

TEST_F(keyed_view_test, readWithRecords_afterItsWait_isCompleteAsOfItsRequest) {
  Follower.poll(Log, milliseconds(0));
  auto RequestedAt = Clock.monotonicNow();
  Log.WhileWaiting = [this] { Clock.advance(milliseconds(1050)); };
  Log.Reads = {page({record("a", "1", 1)}, 1)};
  EXPECT_TRUE(Follower.poll(Log, milliseconds(1000)));
  EXPECT_EQ(RequestedAt, Freshness.completeAsOf());
}

TEST_F(keyed_view_test, freshness_whileReadWaits_isThatOfTheLastResponse) {
  Follower.poll(Log, milliseconds(0));
  auto LastResponse = Freshness.completeAsOf();
  ASSERT_EQ(Clock.monotonicNow(), LastResponse);
  int Waits = 0;
  Log.WhileWaiting = [&] {
    ++Waits;
    Clock.advance(milliseconds(60000));
    EXPECT_EQ(LastResponse, Freshness.completeAsOf());
    EXPECT_EQ(LastResponse, Freshness.localReadAsOf());
  };
  Log.Reads = {tl::unexpected(journal_error::InDoubt)};
  EXPECT_FALSE(Follower.poll(Log, milliseconds(60000)));
  EXPECT_EQ(1, Waits);
  EXPECT_EQ(LastResponse, Freshness.completeAsOf());
}
