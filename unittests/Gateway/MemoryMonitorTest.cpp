#include "RecordingLog.h"
#include "ScriptedServer.h"
#include "bluebellkeel/Gateway.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class settable_memory final : public resident_memory {
public:
  std::optional<std::size_t> bytes() const override { return Bytes; }
  std::optional<std::size_t> Bytes;
};

/// A heap that returns a fixed part of the resident memory.
class settable_heap final : public process_heap {
public:
  explicit settable_heap(settable_memory &Resident) : Resident(Resident) {}
  void returnFreed() override {
    ++Calls;
    *Resident.Bytes -= std::min(*Resident.Bytes, Freed);
  }

  settable_memory &Resident;
  std::size_t Freed = 0;
  int Calls = 0;
};

class memory_monitor_test : public testing::Test {
protected:
  static constexpr std::size_t Limit = 1000;

  void updateAt(std::optional<std::size_t> Bytes) {
    Resident.Bytes = Bytes;
    Monitor.update();
  }
  bool showsGauge(const std::string &Line) const {
    return Metrics.render().find("bluebellkeel_state" + Line + "\n") !=
           std::string::npos;
  }

  settable_memory Resident;
  settable_heap Heap{Resident};
  memory_budget Budget{1000};
  scripted_server Server;
  metrics Metrics;
  recording_log Log;
  memory_monitor Monitor{Limit, Resident, Heap, Budget, Server, Metrics, Log};
};

} // namespace

TEST_F(memory_monitor_test, memoryBelowAllLevels_isNotLogged) {
  updateAt(240);
  EXPECT_TRUE(Log.Lines.empty());
  EXPECT_TRUE(showsGauge("{of=\"resident_bytes\"} 240"));
}

TEST_F(memory_monitor_test, memoryBeyondSeveralLevels_isLoggedOnce) {
  updateAt(810);
  updateAt(820);
  ASSERT_EQ(1U, Log.Lines.size());
  EXPECT_NE(std::string::npos, Log.Lines[0].find("\"percent\":81"));
  EXPECT_NE(std::string::npos, Log.Lines[0].find("\"resident_bytes\":810"));
}

TEST_F(memory_monitor_test, memoryThatRisesAndFallsAgain_hasABoundedLog) {
  for (int Round = 0; Round < 100; ++Round) {
    for (std::size_t Bytes = 0; Bytes <= 2 * Limit; Bytes += 10)
      updateAt(Bytes);
  }
  EXPECT_EQ(7U, Log.Lines.size());
}

TEST_F(memory_monitor_test, unknownMemory_isShownAsMinusOne) {
  updateAt(std::nullopt);
  EXPECT_TRUE(showsGauge("{of=\"resident_bytes\"} -1"));
  EXPECT_TRUE(Log.Lines.empty());
}

TEST_F(memory_monitor_test, missingProcessFile_isUnknownMemory) {
  EXPECT_EQ(std::nullopt, statm_resident_memory("/missing/statm").bytes());
}

TEST_F(memory_monitor_test, ownProcessFile_countsTouchedMemory) {
  constexpr std::size_t Touched = 64UL << 20;
  statm_resident_memory Own;
  auto Before = Own.bytes();
  ASSERT_TRUE(Before.has_value());
  std::vector<char> Memory(Touched, 'x');
  auto After = Own.bytes();
  ASSERT_TRUE(After.has_value());
  EXPECT_GE(*After + Touched / 16, *Before + Memory.size());
}

TEST_F(memory_monitor_test, refusals_areLoggedOncePerUpdate) {
  updateAt(240);
  for (int I = 0; I < 100; ++I)
    EXPECT_FALSE(Budget.take(memory_use::Request, 2000));
  updateAt(240);
  updateAt(240);
  ASSERT_EQ(1U, Log.Lines.size());
  EXPECT_NE(std::string::npos, Log.Lines[0].find("\"refused_requests\":100"));
}

// Guards against a process that is killed for memory that it has freed.
TEST_F(memory_monitor_test, memoryNearlyUsedUp_isReturned) {
  Heap.Freed = 400;
  updateAt(900);
  EXPECT_EQ(1, Heap.Calls);
  EXPECT_TRUE(showsGauge("{of=\"resident_bytes\"} 500"));
}

TEST_F(memory_monitor_test, memoryThatCallersHold_isNotReturned) {
  memory_budget Small(Limit / 2);
  memory_monitor Own(Limit, Resident, Heap, Small, Server, Metrics, Log);
  EXPECT_TRUE(Small.take(memory_use::Urgent, 400));
  Resident.Bytes = 700;
  Own.update();
  EXPECT_EQ(0, Heap.Calls);
}

// Guards against time that is spent again and again though nothing returns.
TEST_F(memory_monitor_test, memoryThatDoesNotReturn_isAskedForAfterGrowthOnly) {
  for (int I = 0; I < 10; ++I)
    updateAt(900);
  EXPECT_EQ(1, Heap.Calls);
  updateAt(950);
  EXPECT_EQ(2, Heap.Calls);
}

// Guards against a budget that does not see what the process really uses.
TEST_F(memory_monitor_test, memoryThatNobodyHolds_isTakenFromTheBudget) {
  memory_budget Small(Limit / 2);
  memory_monitor Own(Limit, Resident, Heap, Small, Server, Metrics, Log);
  Resident.Bytes = 700;
  Own.update();
  EXPECT_EQ(0U, Small.missing(memory_use::Urgent, 300));
  EXPECT_EQ(1U, Small.missing(memory_use::Urgent, 301));
  Resident.Bytes = 400;
  Own.update();
  EXPECT_EQ(0U, Small.missing(memory_use::Urgent, 500));
}

TEST_F(memory_monitor_test, muchMemoryThatNobodyHolds_leavesRoomForRequests) {
  updateAt(5000);
  EXPECT_EQ(0U, Budget.missing(memory_use::Request, 300));
}
