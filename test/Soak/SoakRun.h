#ifndef TEST_SOAK_SOAKRUN_H
#define TEST_SOAK_SOAKRUN_H

#include "AttemptLog.h"
#include "FaultSchedule.h"
#include "SoakCheck.h"
#include "SoakEnvironment.h"
#include <array>
#include <atomic>
#include <functional>
#include <map>

namespace bluebellkeel {

/// Runs the fault schedule of one seed and records the history.
class soak_run {
public:
  /// All faults begin within this time after the start of the run.
  static constexpr milliseconds FaultTime{12000};

  /// \param Program path of the gateway program.
  /// \param Cancelled ends the run early when set.
  soak_run(std::uint64_t Seed, const std::string &Folder,
           const std::string &Program, const std::atomic<bool> &Cancelled);
  ~soak_run();

  /// Runs the schedule and returns all violations. No further faults begin
  /// once a check has found a violation. Returns one line with the reason if
  /// the gateways do not become ready or the run is cancelled.
  std::vector<std::string> execute();
  const std::vector<soak_fault> &faults() const { return Schedule.faults(); }
  std::size_t requests() { return Log.all().size(); }

private:
  enum class process_state { Running, Stopping, Down };

  milliseconds now() const {
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - RunStart);
  }
  void fillTimeline();
  void startCallers();
  void runTimeline();
  void begin(const soak_fault &Fault);
  void end(const soak_fault &Fault);
  void beginStop(int Gateway);
  void killGateway(int Gateway);
  void restartGateway(int Gateway);
  /// Ends the runner and starts another process under its id.
  void replaceRunner(int Runner);
  void watchProcesses();
  bool allRunning() const;
  void configure();
  /// Restores the store from a copy and writes the configuration again.
  void restoreStore();
  std::vector<std::string> check();
  void sendAfterFaults();
  process_state &stateOf(int Gateway) {
    return States.at(static_cast<std::size_t>(Gateway));
  }

  const std::uint64_t Seed;
  const std::atomic<bool> &Cancelled;
  const fault_schedule Schedule;
  thread_pool Pool{3};
  soak_environment Environment;
  attempt_log Log;
  attempt_log AfterFaultsLog;
  std::chrono::steady_clock::time_point RunStart;
  /// Unix time of RunStart.
  milliseconds RunStartUnix{0};
  std::atomic<bool> Stop{false};
  std::atomic<int> Version{1};
  std::atomic<int> ActiveCallers{0};
  int LastWrittenVersion = 1;
  /// Pending actions by time since the start of the run.
  std::multimap<milliseconds, std::function<void()>> Timeline;
  std::array<process_state, soak_environment::Gateways> States = {};
  std::array<milliseconds, soak_environment::Gateways> StopRequestedAt = {};
  std::map<int, bool> RunnerDown;
  soak_history History;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_SOAKRUN_H
