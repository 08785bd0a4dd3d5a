#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <algorithm>
#include <functional>
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

/// In-memory log of statuses.
class memory_status_log final : public roll_out_status_log {
public:
  std::optional<roll_out_status_page> readStatuses() override {
    if (Down)
      return std::nullopt;
    roll_out_status_page Page(Written,
                              log_position(Era, log_offset(Written.size())));
    if (AfterRead)
      AfterRead();
    return Page;
  }
  bool append(const roll_out_status &Status, const log_position &End) override {
    if (Down || End.offset() != log_offset(Written.size()))
      return false;
    Written.push_back(Status);
    return true;
  }

  std::vector<roll_out_status> Written;
  std::uint64_t Era = 0;
  bool Down = false;
  std::function<void()> AfterRead;
};

class roll_out_status_publisher_test : public testing::Test {
protected:
  roll_out_status_publisher_test() {
    for (const auto &Id : Ids) {
      Trackers.push_back(std::make_unique<roll_out_tracker>(Limits, Clock));
      Trackers.back()->noteOrder(
          roll_out_order(Service, V2, milliseconds(24000), log_offset(1)));
      Publishers.push_back(std::make_unique<roll_out_status_publisher>(
          Id, Clock, *Trackers.back(), Log));
    }
  }
  /// Runs the publishers in turn; returns the index of the first one that
  /// writes a status, or Ids.size().
  std::size_t indexOfWriter() {
    for (std::size_t I = 0; I < Ids.size(); ++I) {
      if (!Publishers[I]->run(Ids).empty())
        return I;
    }
    return Ids.size();
  }

  /// Loses all statuses but the first \p Kept; the operators write their order
  /// again.
  void restore(std::size_t Kept) {
    ++Log.Era;
    Log.Written.erase(Log.Written.begin() + static_cast<std::ptrdiff_t>(Kept),
                      Log.Written.end());
    for (auto &Tracker : Trackers)
      Tracker->noteOrder(roll_out_order(Service, V2, milliseconds(24000),
                                        log_position(Log.Era, log_offset(1))));
  }
  void runAll(int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      for (auto &Publisher : Publishers)
        Publisher->run(Ids);
      Clock.advance(milliseconds(400));
    }
  }

  manual_clock Clock;
  roll_out_limits Limits{0.15};
  service_id Service{"engines"};
  version_id V2{"v2"};
  memory_status_log Log;
  std::vector<instance_id> Ids = {instance_id("a"), instance_id("b"),
                                  instance_id("c")};
  std::vector<std::unique_ptr<roll_out_tracker>> Trackers;
  std::vector<std::unique_ptr<roll_out_status_publisher>> Publishers;
};

} // namespace

TEST_F(roll_out_status_publisher_test, newOrder_isWrittenOnceByOneInstance) {
  for (int Round = 0; Round < 10; ++Round) {
    for (auto &Publisher : Publishers)
      Publisher->run(Ids);
    Clock.advance(milliseconds(400));
  }
  ASSERT_EQ(1U, Log.Written.size());
  EXPECT_EQ(roll_out_stage::Running, Log.Written[0].stage());
}

TEST_F(roll_out_status_publisher_test, writerStopped_anotherInstanceTakesOver) {
  std::size_t WriterIndex = indexOfWriter();
  ASSERT_LT(WriterIndex, Ids.size());
  for (auto &Tracker : Trackers) {
    for (int I = 0; I < 10; ++I)
      Tracker->noteResponse(Service, V2, /*Good=*/false);
  }
  for (int Round = 0; Round < 20; ++Round) {
    for (std::size_t I = 0; I < Publishers.size(); ++I) {
      if (I != WriterIndex)
        Publishers[I]->run(Ids);
    }
    Clock.advance(milliseconds(400));
  }
  ASSERT_EQ(2U, Log.Written.size());
  EXPECT_EQ(roll_out_stage::RolledBack, Log.Written[1].stage());
}

TEST_F(roll_out_status_publisher_test,
       pausedBetweenReadAndAppend_writesNothing) {
  std::size_t WriterIndex = 0;
  Log.AfterRead = [&] {
    Log.AfterRead = nullptr;
    Log.Written.emplace_back(Service, V2, roll_out_stage::RolledBack);
  };
  WriterIndex = indexOfWriter();
  EXPECT_EQ(Ids.size(), WriterIndex);
  ASSERT_EQ(1U, Log.Written.size());
  EXPECT_EQ(roll_out_stage::RolledBack, Log.Written[0].stage());
}

TEST_F(roll_out_status_publisher_test,
       laterStageInTheLog_takesEffectOnAllInstances) {
  Log.Written.emplace_back(Service, V2, roll_out_stage::RolledBack);
  for (auto &Publisher : Publishers)
    EXPECT_TRUE(Publisher->run(Ids).empty());
  Clock.advance(milliseconds(10000));
  for (auto &Publisher : Publishers)
    EXPECT_TRUE(Publisher->run(Ids).empty());
  for (auto &Tracker : Trackers)
    EXPECT_FALSE(Tracker->usable(Service, V2));
}

TEST_F(roll_out_status_publisher_test, logUnavailable_writeIsRetried) {
  Log.Down = true;
  EXPECT_EQ(Ids.size(), indexOfWriter());
  Log.Down = false;
  EXPECT_LT(indexOfWriter(), Ids.size());
}

TEST_F(roll_out_status_publisher_test, statusLostByARestore_isWrittenAgain) {
  runAll(10);
  Clock.advance(milliseconds(24000));
  runAll(10);
  ASSERT_EQ(2U, Log.Written.size());
  restore(1);
  runAll(10);
  ASSERT_EQ(2U, Log.Written.size());
  EXPECT_EQ(roll_out_stage::Complete, Log.Written[1].stage());
}

TEST_F(roll_out_status_publisher_test, statusThatTheCopyHolds_isNotRepeated) {
  runAll(10);
  restore(1);
  runAll(10);
  EXPECT_EQ(1U, Log.Written.size());
}

TEST_F(roll_out_status_publisher_test, afterARestore_oneInstanceWritesAtOnce) {
  runAll(10);
  restore(0);
  int Reads = 0;
  Log.AfterRead = [&Reads] { ++Reads; };
  for (auto &Publisher : Publishers)
    Publisher->run(Ids);
  EXPECT_EQ(1U, Log.Written.size());
  EXPECT_EQ(1, Reads);
}

TEST_F(roll_out_status_publisher_test, peerBeforeTheRestore_provesNoStatus) {
  runAll(10);
  auto Old = Trackers[0]->evidence();
  restore(0);
  Trackers[1]->merge(Ids[0], Old);
  EXPECT_EQ(1U, Trackers[1]->unpublished().size());
}
