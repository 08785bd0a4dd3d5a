#include "Support/ManualClock.h"
#include "bluebellkeel/Journal.h"
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

/// Keeps the value in force of each key. Keys that begin with "v" hold versions
/// that only grow.
class recording_listener final : public keyed_listener {
public:
  void onRecordChanged(const keyed_record &Record) override {
    InForce[Record.name()] = Record.value();
  }
  bool ordersByValue(const std::string &Key) const override {
    return Key[0] == 'v';
  }
  std::map<std::string, std::string> InForce;
};

/// A log in memory that can be restored from a copy.
class restorable_log final : public keyed_log {
public:
  using page_result = tl::expected<keyed_page, journal_error>;

  page_result readLatest(keyed_topic /*Topic*/) override {
    std::vector<keyed_record> All;
    for (const auto &[Key, Record] : live())
      All.push_back(Record);
    return keyed_page(std::move(All), end());
  }
  page_result read(keyed_topic /*Topic*/, const log_position &After,
                   milliseconds /*Wait*/) override {
    if (After.offset() > end().offset())
      return tl::unexpected(journal_error::Trimmed);
    std::vector<keyed_record> Newer;
    for (std::size_t I = After.offset().value(); I < Records.size(); ++I)
      Newer.push_back(recordAt(I));
    return keyed_page(std::move(Newer), end());
  }
  tl::expected<log_position, journal_error>
  append(keyed_topic /*Topic*/, const std::string &Key,
         const std::string &Value, std::optional<log_offset> /*At*/) override {
    Records.emplace_back(Key, Value);
    return end();
  }
  void write(const std::string &Key, const std::string &Value) {
    append(keyed_topic::Settings, Key, Value, std::nullopt);
  }
  void restore(std::size_t Size) {
    ++Era;
    Records.resize(std::min(Size, Records.size()));
  }
  std::map<std::string, keyed_record> live() const {
    std::map<std::string, keyed_record> Live;
    for (std::size_t I = 0; I < Records.size(); ++I) {
      keyed_record Record = recordAt(I);
      Live.erase(Record.name());
      if (!Record.isDeleted())
        Live.emplace(Record.name(), Record);
    }
    return Live;
  }
  std::size_t size() const { return Records.size(); }

private:
  keyed_record recordAt(std::size_t Index) const {
    return keyed_record(Records[Index].first, Records[Index].second,
                        log_position(Era, log_offset(Index + 1)));
  }
  log_position end() const {
    return log_position(Era, log_offset(Records.size()));
  }

  std::uint64_t Era = 1;
  std::vector<std::pair<std::string, std::string>> Records;
};

/// One instance's view of the log.
class log_reader {
public:
  explicit log_reader(const time_source &Clock)
      : Follower(keyed_topic::Settings, View, Freshness, Clock) {}

  bool poll(restorable_log &Log) {
    return Follower.poll(Log, milliseconds(0)).has_value();
  }
  std::string valueOf(const std::string &Key) const {
    auto Found = View.find(Key);
    return Found ? Found->value() : "";
  }
  std::string inForce(const std::string &Key) { return Listener.InForce[Key]; }

  recording_listener Listener;
  keyed_view View{Listener};
  log_freshness Freshness;
  keyed_follower Follower;
};

class restored_log_test : public testing::Test {
protected:
  void settleAfter(milliseconds Time) {
    Clock.advance(Time);
    Reader.View.settle(Clock.monotonicNow());
  }

  manual_clock Clock;
  restorable_log Log;
  log_reader Reader{Clock};
};

} // namespace

TEST_F(restored_log_test, recordAtAKnownOffset_ofTheRestoredLogCounts) {
  Log.write("a", "1");
  Log.write("a", "2");
  Reader.poll(Log);
  Log.restore(1);
  Log.write("a", "3");
  EXPECT_TRUE(Reader.poll(Log));
  EXPECT_EQ("3", Reader.valueOf("a"));
  Log.write("a", "4");
  EXPECT_TRUE(Reader.poll(Log));
  EXPECT_EQ("4", Reader.valueOf("a"));
}

TEST_F(restored_log_test, restoredLogThatGrewBeyondTheOldEnd_isReadAsAWhole) {
  Log.write("a", "1");
  Log.write("b", "1");
  Reader.poll(Log);
  Log.restore(1);
  Log.write("b", "2");
  Log.write("c", "1");
  EXPECT_TRUE(Reader.poll(Log));
  EXPECT_EQ("2", Reader.valueOf("b"));
  EXPECT_EQ("1", Reader.valueOf("c"));
}

TEST_F(restored_log_test, responseOfAnEarlierEra_isRejected) {
  restorable_log Old = Log;
  Old.write("a", "old");
  Log.restore(0);
  Log.write("a", "new");
  Reader.poll(Log);
  EXPECT_FALSE(Reader.poll(Old));
  EXPECT_EQ("new", Reader.valueOf("a"));
  EXPECT_TRUE(Reader.poll(Log));
}

TEST_F(restored_log_test, peerBeforeTheRestore_bringsNothingBack) {
  log_reader Peer(Clock);
  Log.write("a", "1");
  Log.write("b", "1");
  Log.write("b", "2");
  Peer.poll(Log);
  Log.restore(1);
  Log.write("a", "2");
  Reader.poll(Log);
  Reader.View.apply(Peer.View.since(Reader.View.end()));
  EXPECT_EQ("2", Reader.valueOf("a"));
  EXPECT_EQ("", Reader.valueOf("b"));
}

TEST_F(restored_log_test, peerAfterTheRestore_bringsTheRestoredRecords) {
  log_reader Peer(Clock);
  Log.write("a", "1");
  Log.write("b", "1");
  Reader.poll(Log);
  Log.restore(1);
  Log.write("a", "2");
  Peer.poll(Log);
  Reader.View.apply(Peer.View.since(Reader.View.end()));
  EXPECT_EQ("2", Reader.valueOf("a"));
  EXPECT_EQ(Peer.View.end(), Reader.View.end());
}

TEST_F(restored_log_test, olderRecordOfTheCopy_isNotInForceAtOnce) {
  Log.write("order", "A");
  Log.write("order", "B");
  Reader.poll(Log);
  Log.restore(1);
  Reader.poll(Log);
  settleAfter(milliseconds(0));
  EXPECT_EQ("B", Reader.inForce("order"));
  Log.write("order", "B");
  Reader.poll(Log);
  settleAfter(keyed_view::RestoreGrace);
  EXPECT_EQ("B", Reader.inForce("order"));
}

TEST_F(restored_log_test, recordLostByTheRestore_staysInForceForAWhile) {
  Log.write("order", "A");
  Reader.poll(Log);
  Log.restore(0);
  Reader.poll(Log);
  settleAfter(milliseconds(0));
  EXPECT_EQ("A", Reader.inForce("order"));
  settleAfter(keyed_view::RestoreGrace);
  EXPECT_EQ("", Reader.inForce("order"));
}

TEST_F(restored_log_test, recordWrittenAfterTheRestore_isInForceAtOnce) {
  Log.write("order", "A");
  Log.write("order", "B");
  Reader.poll(Log);
  Log.restore(1);
  Reader.poll(Log);
  Log.write("order", "C");
  Reader.poll(Log);
  EXPECT_EQ("C", Reader.inForce("order"));
  settleAfter(keyed_view::RestoreGrace);
  EXPECT_EQ("C", Reader.inForce("order"));
}

TEST_F(restored_log_test, recordThatIsNotWrittenAgain_givesWayToTheCopy) {
  Log.write("order", "A");
  Log.write("order", "B");
  Reader.poll(Log);
  Log.restore(1);
  Reader.poll(Log);
  settleAfter(milliseconds(0));
  settleAfter(keyed_view::RestoreGrace);
  EXPECT_EQ("A", Reader.inForce("order"));
}

TEST_F(restored_log_test, recordOrderedByItsValue_isInForceAtOnce) {
  Log.write("v", "1");
  Log.write("v", "2");
  Reader.poll(Log);
  Log.restore(0);
  Log.write("v", "3");
  Reader.poll(Log);
  EXPECT_EQ("3", Reader.inForce("v"));
}

TEST_F(restored_log_test, secondRestore_comparesWithWhatIsInForce) {
  Log.write("order", "A");
  Log.write("order", "B");
  Reader.poll(Log);
  Log.restore(1);
  Reader.poll(Log);
  settleAfter(milliseconds(0));
  Log.restore(1);
  Reader.poll(Log);
  EXPECT_EQ("B", Reader.inForce("order"));
}

TEST_F(restored_log_test, peersDeletion_doesNotEndTheWaitForALostRecord) {
  log_reader Peer(Clock);
  Log.write("order", "A");
  Reader.poll(Log);
  Peer.poll(Log);
  Log.restore(0);
  Reader.poll(Log);
  Log.write("other", "1");
  Peer.poll(Log);
  Reader.View.apply(Peer.View.since(Reader.View.end()));
  EXPECT_EQ("A", Reader.inForce("order"));
}

RC_GTEST_FIXTURE_PROP(restored_log_test,
                      anyRestoresRestartsAndFetches_viewsFollowTheLog, ()) {
  constexpr std::size_t Count = 3;
  std::vector<std::unique_ptr<log_reader>> Readers;
  for (std::size_t I = 0; I < Count; ++I)
    Readers.push_back(std::make_unique<log_reader>(Clock));
  // Answers of peers that a reader has not yet received.
  std::vector<std::optional<keyed_page>> Answers(Count);
  auto Receive = [&](std::size_t Index) {
    if (Answers[Index])
      Readers[Index]->View.apply(*Answers[Index]);
    Answers[Index].reset();
  };
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6000));
  for (int Step : Steps) {
    auto First = static_cast<std::size_t>(Step / 6 % 3);
    auto Second = static_cast<std::size_t>(Step / 18 % 3);
    int Number = Step / 54;
    std::string Key = "k" + std::to_string(Number % 4);
    switch (Step % 6) {
    case 0:
      Log.write(Key, Number % 3 == 0 ? "" : std::to_string(Number));
      break;
    case 1:
      Log.restore(Log.size() -
                  std::min<std::size_t>(Log.size(),
                                        static_cast<std::size_t>(Number % 5)));
      break;
    case 2:
      Readers[First]->poll(Log);
      break;
    case 3:
      Answers[First] = Readers[Second]->View.since(Readers[First]->View.end());
      break;
    case 4:
      Receive(First);
      break;
    default:
      Readers[First] = std::make_unique<log_reader>(Clock);
    }
  }
  for (std::size_t I = 0; I < Count; ++I) {
    Readers[I]->poll(Log);
    Receive(I);
    RC_ASSERT(Readers[I]->poll(Log));
    auto Live = Log.live();
    for (int Number = 0; Number < 4; ++Number) {
      std::string Key = "k" + std::to_string(Number);
      auto Expected = Live.find(Key);
      RC_ASSERT(Readers[I]->valueOf(Key) ==
                (Expected == Live.end() ? "" : Expected->second.value()));
    }
  }
}
