#include "LoadRun.h"
#include "Caller.h"
#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include <algorithm>
#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

using namespace bluebellkeel;

using nlohmann::json;

namespace {

/// Thread-safe counts of request outcomes and times of complete answers.
class load_statistics {
public:
  void add(const request_result &Result, double Seconds) {
    absl::MutexLock Lock(&Mutex);
    switch (Result.End) {
    case request_outcome::Whole:
      ++Whole;
      Times.push_back(Seconds);
      return;
    case request_outcome::NotRun:
      ++NotRun;
      break;
    case request_outcome::Refused:
      ++Refused;
      break;
    case request_outcome::Cut:
      ++Cut;
      break;
    }
    ++Reasons[Result.Reason.empty() ? "cut" : Result.Reason];
  }

  std::string summary() {
    absl::MutexLock Lock(&Mutex);
    std::sort(Times.begin(), Times.end());
    json Summary = {{"whole", Whole},          {"not_run", NotRun},
                    {"refused", Refused},      {"cut", Cut},
                    {"reasons", Reasons},      {"p50_s", quantile(0.5)},
                    {"p95_s", quantile(0.95)}, {"p99_s", quantile(0.99)}};
    return Summary.dump();
  }

private:
  double quantile(double Share) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    if (Times.empty())
      return 0;
    auto Index =
        static_cast<std::size_t>(Share * static_cast<double>(Times.size()));
    return Times[std::min(Index, Times.size() - 1)];
  }

  mutable absl::Mutex Mutex;
  std::uint64_t Whole ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t NotRun ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t Refused ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t Cut ABSL_GUARDED_BY(Mutex) = 0;
  std::map<std::string, std::uint64_t> Reasons ABSL_GUARDED_BY(Mutex);
  std::vector<double> Times ABSL_GUARDED_BY(Mutex);
};

} // namespace

static request_result runOne(const load_plan &Plan, caller &Caller,
                             std::uint64_t Number) {
  if (!Plan.Service.empty()) {
    std::string Body = json{{"id", absl::StrCat("load-", Number)}}.dump();
    return Caller.order(Plan.Service, Plan.Operation, Body, /*Resends=*/3);
  }
  return Caller.chat(Plan.Model, absl::StrCat("Describe lace ", Number),
                     Plan.MaxTokens, /*Stream=*/true,
                     absl::StrCat("load-", Number), "");
}

static void rotate(std::vector<network_address> &KnownAddresses,
                   std::size_t By) {
  auto Middle = KnownAddresses.begin() +
                static_cast<std::ptrdiff_t>(By % KnownAddresses.size());
  std::rotate(KnownAddresses.begin(), Middle, KnownAddresses.end());
}

std::string bluebellkeel::runLoad(const load_plan &Plan) {
  load_statistics Statistics;
  std::atomic<std::uint64_t> Next{0};
  std::vector<std::thread> Threads;
  for (unsigned Index = 0; Index < Plan.Threads; ++Index) {
    Threads.emplace_back([&, Index] {
      auto KnownAddresses = Plan.KnownAddresses;
      rotate(KnownAddresses, Index);
      caller Caller(KnownAddresses, Plan.ApiKey);
      if (Plan.SkipsDiscovery)
        Caller.skipDiscovery();
      while (true) {
        std::uint64_t Number = Next++;
        if (Number >= Plan.Requests)
          return;
        auto Started = std::chrono::steady_clock::now();
        request_result Result = runOne(Plan, Caller, Number);
        std::chrono::duration<double> Elapsed =
            std::chrono::steady_clock::now() - Started;
        Statistics.add(Result, Elapsed.count());
      }
    });
  }
  for (auto &Thread : Threads)
    Thread.join();
  return Statistics.summary();
}
