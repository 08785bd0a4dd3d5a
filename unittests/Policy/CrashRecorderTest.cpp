#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <array>
#include <gtest/gtest.h>
#include <map>
#include <memory>

using namespace bluebellkeel;

namespace {

/// In-memory log of crash records.
class memory_crash_log final : public crash_record_log {
public:
  std::optional<std::vector<crash_record>> read() override {
    if (Down)
      return std::nullopt;
    std::vector<crash_record> Page;
    for (const auto &[Request, Record] : Records)
      Page.push_back(Record);
    return Page;
  }
  bool write(const crash_record &Record) override {
    ++Calls;
    if (!Down)
      Records.insert_or_assign(Record.request(), Record);
    return !Down;
  }
  bool remove(const fingerprint &Request) override {
    ++Calls;
    if (!Down)
      Records.erase(Request);
    return !Down;
  }

  std::map<fingerprint, crash_record> Records;
  int Calls = 0;
  bool Down = false;
};

/// An instance with what it knows of crashes.
struct recording_instance {
  recording_instance(const instance_id &Id, const time_source &Clock,
                     crash_record_log &Log)
      : Tracker(Clock, 3), Recorder(Id, Clock, Tracker, Log) {}

  crash_tracker Tracker;
  crash_recorder Recorder;
};

class crash_recorder_test : public testing::Test {
protected:
  crash_recorder_test() {
    restart(0);
    restart(1);
  }

  recording_instance &instance(std::size_t Index) { return *Instances[Index]; }
  void restart(std::size_t Index) {
    Instances[Index] =
        std::make_unique<recording_instance>(Ids[Index], Clock, Log);
  }
  /// \p Index sees the request crash three upstreams.
  void block(std::size_t Index) {
    for (const char *Upstream : {"u1", "u2", "u3"})
      instance(Index).Tracker.noteCrash(Request, upstream_id(Upstream),
                                        Clock.monotonicNow());
  }
  void writeChanges() {
    for (auto &Instance : Instances)
      Instance->Recorder.writeChanges(Era, Ids);
  }
  bool blocks(std::size_t Index) {
    return instance(Index).Tracker.blocked(Request);
  }

  manual_clock Clock;
  memory_crash_log Log;
  std::uint64_t Era = 0;
  std::vector<instance_id> Ids{instance_id("a"), instance_id("b")};
  std::array<std::unique_ptr<recording_instance>, 2> Instances;
  fingerprint Request{"r"};
};

} // namespace

// Guards against blocks that end when all instances are killed at once.
TEST_F(crash_recorder_test, allInstancesRestarted_blockIsReadFromTheLog) {
  block(0);
  writeChanges();
  Clock.advance(seconds(100));
  for (std::size_t Index : {0, 1}) {
    restart(Index);
    EXPECT_EQ(std::vector{Request}, instance(Index).Recorder.readBlocks());
    EXPECT_TRUE(blocks(Index));
  }
  // The restart does not extend the block.
  Clock.advance(crash_tracker::EntryLifetime - seconds(99));
  EXPECT_FALSE(blocks(0));
}

// Guards against calls to the log without need.
TEST_F(crash_recorder_test, blockThatStays_isWrittenOnce) {
  writeChanges();
  EXPECT_EQ(0, Log.Calls);
  block(0);
  for (int I = 0; I < 10; ++I) {
    instance(1).Tracker.merge(instance(0).Tracker.report());
    writeChanges();
    Clock.advance(seconds(1));
  }
  EXPECT_EQ(1, Log.Calls);
}

// Guards against a request that is blocked again after a restart although it
// has succeeded since.
TEST_F(crash_recorder_test, requestClearedElsewhere_recordIsRemoved) {
  block(0);
  writeChanges();
  instance(1).Tracker.merge(instance(0).Tracker.report());
  Clock.advance(seconds(20));
  instance(1).Tracker.noteSuccess(Request);
  writeChanges();
  EXPECT_TRUE(Log.Records.empty());
}

// Guards against records that stay in the log for good.
TEST_F(crash_recorder_test, blockOutlivedByItsRecord_isRemovedByOneInstance) {
  block(0);
  writeChanges();
  for (std::size_t Index : {0, 1}) {
    restart(Index);
    instance(Index).Recorder.readBlocks();
  }
  Clock.advance(crash_tracker::EntryLifetime + seconds(1));
  Log.Calls = 0;
  writeChanges();
  EXPECT_TRUE(Log.Records.empty());
  EXPECT_EQ(1, Log.Calls);
}

TEST_F(crash_recorder_test, logFails_changeIsWrittenLater) {
  Log.Down = true;
  block(0);
  writeChanges();
  EXPECT_FALSE(instance(1).Recorder.readBlocks());
  Log.Down = false;
  writeChanges();
  EXPECT_EQ(1U, Log.Records.size());
}

// Guards against blocks that a log loses when it is restored from a copy.
TEST_F(crash_recorder_test, logRestored_blockIsWrittenAgain) {
  block(0);
  writeChanges();
  Log.Records.clear();
  ++Era;
  writeChanges();
  EXPECT_EQ(1U, Log.Records.size());
}

// Guards against a clock that is ahead at the instance which wrote the record.
TEST_F(crash_recorder_test, recordFromTheFuture_countsAsNew) {
  Log.Records.emplace(
      Request, crash_record(Request, {{upstream_id("u1"),
                                       Clock.wallNow() + seconds(3600)},
                                      {upstream_id("u2"), Clock.wallNow()},
                                      {upstream_id("u3"), Clock.wallNow()}}));
  instance(0).Recorder.readBlocks();
  EXPECT_TRUE(blocks(0));
  Clock.advance(crash_tracker::EntryLifetime + seconds(1));
  EXPECT_FALSE(blocks(0));
}
