#include "Support/FakeLog.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Journal.h"
#include <gtest/gtest.h>
#include <thread>

using namespace bluebellkeel;

namespace {

class failing_replicator final : public bill_replicator {
public:
  void replicate(const std::vector<bill> & /*Bills*/,
                 std::function<void(bool)> Done) override {
    Done(false);
  }
};

/// The bill writer and the claim coordinator on their own threads, with many
/// concurrent requests.
class journal_concurrency_test : public testing::Test {
protected:
  static constexpr int ThreadCount = 4;
  static constexpr int PerThread = 200;

  /// Runs \p Work on several threads and waits for them.
  template <typename work_t> static void runOnManyThreads(work_t Work) {
    std::vector<std::thread> Threads;
    Threads.reserve(ThreadCount);
    for (int Thread = 0; Thread < ThreadCount; ++Thread) {
      Threads.emplace_back([&Work, Thread] {
        for (int Index = 0; Index < PerThread; ++Index)
          Work(std::to_string(Thread) + "-" + std::to_string(Index));
      });
    }
    for (auto &Thread : Threads)
      Thread.join();
  }

  system_clock Clock;
  bool allDone() const ABSL_SHARED_LOCKS_REQUIRED(Mutex) {
    return Done >= ThreadCount * PerThread;
  }
  void waitForAll() {
    absl::MutexLock Lock(&Mutex);
    Mutex.Await(absl::Condition(this, &journal_concurrency_test::allDone));
  }
  void countDone() {
    absl::MutexLock Lock(&Mutex);
    ++Done;
  }

  absl::Mutex Mutex;
  int Done ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace

TEST_F(journal_concurrency_test, claims_fromManyThreads_eachGetOneVerdict) {
  fake_log<claim_entry> Log;
  claim_coordinator Claims(Log, Clock, seconds(10), milliseconds(1));
  std::thread Committer([&] { Claims.run(); });
  runOnManyThreads([&](const std::string &Id) {
    ticket Ticket(Id, account_id("a"), Clock.wallNow(), log_offset());
    Claims.claim(Ticket, "attempt-" + Id, [&](const claim_verdict &Verdict) {
      if (Verdict.result() == claim_verdict::kind::Granted)
        countDone();
    });
  });
  waitForAll();
  Claims.stop();
  Committer.join();
}

TEST_F(journal_concurrency_test,
       bills_fromManyThreads_areAllWrittenBeforeRunReturns) {
  fake_log<bill> Log;
  failing_replicator Replicator;
  bill_writer Bills(Log, Replicator, Clock, milliseconds(1));
  std::thread Committer([&] { Bills.run(); });
  runOnManyThreads([&](const std::string &Id) {
    Bills.submit(bill(account_id("a"), request_id(Id), "m@1", 1, 1),
                 [&](tl::expected<void, journal_error> Result) {
                   if (Result)
                     countDone();
                 });
  });
  Bills.stop();
  Committer.join();
  absl::MutexLock Lock(&Mutex);
  EXPECT_EQ(ThreadCount * PerThread, Done);
  EXPECT_EQ(static_cast<std::size_t>(ThreadCount * PerThread),
            Log.retained().size());
}
