#include "SoakRun.h"
#include "SoakCaller.h"
#include "absl/time/clock.h"
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <csignal>

using namespace bluebellkeel;

static constexpr int Callers = 24;
static constexpr milliseconds Tick{50};
static constexpr milliseconds ConfigureInterval{1500};
static constexpr milliseconds CheckInterval{3000};
/// What a restored store has lost: some configurations and registrations.
static constexpr milliseconds RestoredTime{4000};

/// Time between the last fault and the final requests: silent connections time
/// out within three seconds, and upstream health and retry budgets recover
/// within the next few.
static constexpr milliseconds RecoveryTime{6000};
/// Time within which a configuration must be in force, and an allowance for its
/// transmission.
static constexpr milliseconds ApplyTime{2300};
/// Maximum time after FaultTime until all faults have ended and all gateways
/// run again.
static constexpr milliseconds RestartTimeout{20000};

soak_run::soak_run(std::uint64_t Seed, const std::string &Folder,
                   const std::string &Program,
                   const std::atomic<bool> &Cancelled)
    : Seed(Seed), Cancelled(Cancelled),
      Schedule(Seed, FaultTime, soak_environment::Gateways,
               soak_environment::Runners),
      Environment(Seed, Folder, Program, Pool) {
  History.Faults = Schedule.faults();
}

static void awaitTime(milliseconds Time) {
  absl::SleepFor(absl::FromChrono(Time));
}

soak_run::~soak_run() { Pool.stop(); }

void soak_run::fillTimeline() {
  // A call to a store that is paused delays what comes after it, so that the
  // checks need the actual times.
  for (auto &Fault : History.Faults) {
    milliseconds End = Fault.end();
    Timeline.emplace(Fault.start(), [this, &Fault] {
      Fault = Fault.beganAt(now());
      begin(Fault);
    });
    Timeline.emplace(End, [this, &Fault] {
      end(Fault);
      Fault = Fault.endedAt(now());
    });
  }
  for (auto At = ConfigureInterval; At < FaultTime; At += ConfigureInterval)
    Timeline.emplace(At, [this] { configure(); });
}

std::vector<std::string> soak_run::execute() {
  RunStart = std::chrono::steady_clock::now();
  if (!Environment.start())
    return {"the gateways were not ready in time"};
  RunStart = std::chrono::steady_clock::now();
  RunStartUnix = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  History.Versions[1] = milliseconds(0);
  fillTimeline();
  startCallers();
  runTimeline();
  if (Cancelled)
    return {"cancelled"};
  awaitTime(RecoveryTime);
  // With no other fault, nothing but the gateways' own reads brings this
  // version; the requests after the faults expect it to be in force.
  Environment.dropReads();
  configure();
  awaitTime(ApplyTime);
  Stop = true;
  sendAfterFaults();
  while (ActiveCallers > 0)
    awaitTime(Tick);
  return check();
}

void soak_run::startCallers() {
  for (int I = 0; I < Callers; ++I) {
    ++ActiveCallers;
    auto Caller = std::make_shared<soak_caller>(
        Environment, Log, RunStart, "c" + std::to_string(I),
        Seed * Callers + static_cast<std::uint64_t>(I));
    boost::asio::spawn(
        boost::asio::make_strand(Pool.context()),
        [this, Caller](boost::asio::yield_context Yield) {
          Caller->run(Stop, Version, Yield);
          --ActiveCallers;
        },
        boost::asio::detached);
  }
}

void soak_run::runTimeline() {
  milliseconds NextCheck = CheckInterval;
  milliseconds Last = FaultTime + RestartTimeout;
  while ((!Timeline.empty() || !allRunning()) && now() < Last && !Cancelled) {
    while (!Timeline.empty() && Timeline.begin()->first <= now()) {
      auto Action = Timeline.begin()->second;
      Timeline.erase(Timeline.begin());
      Action();
    }
    watchProcesses();
    if (now() >= NextCheck) {
      NextCheck += CheckInterval;
      if (!check().empty())
        return;
    }
    awaitTime(Tick);
  }
}

void soak_run::begin(const soak_fault &Fault) {
  switch (Fault.kind()) {
  case fault_kind::PauseGateway:
    return Environment.signalGateway(Fault.target(), SIGSTOP);
  case fault_kind::KillGateway:
    return killGateway(Fault.target());
  case fault_kind::StopGateway:
    return beginStop(Fault.target());
  case fault_kind::PauseRunner:
    return Environment.signalRunner(Fault.target(), SIGSTOP);
  case fault_kind::KillRunner:
    RunnerDown[Fault.target()] = true;
    return Environment.killRunner(Fault.target());
  case fault_kind::StoreLink:
    return Environment.setStoreLink(Fault.target(), Fault.mode());
  case fault_kind::RunnerLink:
    return Environment.setRunnerLink(Fault.target(), Fault.mode());
  case fault_kind::PauseStore:
    return Environment.signalStore(SIGSTOP);
  case fault_kind::DropReads:
    return Environment.dropReads();
  case fault_kind::LimitRunner:
    return Environment.setNotice(Fault.target(), "limit=4.5");
  case fault_kind::LeaveRunner:
    return Environment.setNotice(Fault.target(), "leaving=1");
  case fault_kind::RefuseRequests:
    return Environment.setNotice(Fault.target(), "pause_ms=1500");
  case fault_kind::RestoreStore:
    return Environment.signalStore(SIGSTOP);
  }
}

void soak_run::end(const soak_fault &Fault) {
  switch (Fault.kind()) {
  case fault_kind::PauseGateway:
    return Environment.signalGateway(Fault.target(), SIGCONT);
  case fault_kind::KillGateway:
    return restartGateway(Fault.target());
  case fault_kind::StopGateway:
    return;
  case fault_kind::PauseRunner:
    return Environment.signalRunner(Fault.target(), SIGCONT);
  case fault_kind::KillRunner:
    if (RunnerDown[Fault.target()])
      Environment.startRunner(Fault.target());
    RunnerDown[Fault.target()] = false;
    return;
  case fault_kind::StoreLink:
    return Environment.setStoreLink(Fault.target(), link_mode::Pass);
  case fault_kind::RunnerLink:
    return Environment.setRunnerLink(Fault.target(), link_mode::Pass);
  case fault_kind::PauseStore:
    return Environment.signalStore(SIGCONT);
  case fault_kind::DropReads:
    return;
  case fault_kind::LimitRunner:
  case fault_kind::RefuseRequests:
    return Environment.setNotice(Fault.target(), "");
  case fault_kind::LeaveRunner:
    return replaceRunner(Fault.target());
  case fault_kind::RestoreStore:
    return restoreStore();
  }
}

void soak_run::restoreStore() {
  Environment.signalStore(SIGCONT);
  if (Environment.restoreStore(RestoredTime))
    Environment.configure(LastWrittenVersion);
}

void soak_run::replaceRunner(int Runner) {
  if (RunnerDown[Runner])
    return;
  Environment.killRunner(Runner);
  Environment.startRunner(Runner);
}

void soak_run::beginStop(int Gateway) {
  if (stateOf(Gateway) != process_state::Running)
    return;
  stateOf(Gateway) = process_state::Stopping;
  StopRequestedAt.at(static_cast<std::size_t>(Gateway)) = now();
  Environment.signalGateway(Gateway, SIGTERM);
}

void soak_run::killGateway(int Gateway) {
  stateOf(Gateway) = process_state::Down;
  Environment.killGateway(Gateway);
}

void soak_run::restartGateway(int Gateway) {
  if (stateOf(Gateway) != process_state::Down)
    return;
  Environment.startGateway(Gateway);
  stateOf(Gateway) = process_state::Running;
}

void soak_run::watchProcesses() {
  for (int Gateway = 0; Gateway < soak_environment::Gateways; ++Gateway) {
    if (stateOf(Gateway) == process_state::Down ||
        !Environment.gatewayEnded(Gateway))
      continue;
    bool StopRequested = stateOf(Gateway) == process_state::Stopping;
    int Code = Environment.waitForGateway(Gateway);
    if (StopRequested)
      History.Exits.emplace_back(
          Gateway, StopRequestedAt.at(static_cast<std::size_t>(Gateway)), now(),
          Code, Environment.gatewayStarted(Gateway));
    else
      History.Crashed.push_back(Gateway);
    stateOf(Gateway) = process_state::Down;
    restartGateway(Gateway);
  }
}

bool soak_run::allRunning() const {
  for (process_state State : States) {
    if (State != process_state::Running)
      return false;
  }
  return true;
}

void soak_run::configure() {
  ++LastWrittenVersion;
  if (!Environment.configure(LastWrittenVersion))
    return;
  History.Versions[LastWrittenVersion] = now();
  Version = LastWrittenVersion;
}

std::vector<std::string> soak_run::check() {
  History.Attempts = Log.all();
  History.AttemptsAfterFaults = AfterFaultsLog.all();
  History.Runs = Environment.runs();
  History.Arrivals = Environment.arrivals(RunStartUnix);
  std::vector<std::string> Lines;
  for (const auto &Check : allSoakChecks()) {
    auto Found = Check->violations(History);
    Lines.insert(Lines.end(), Found.begin(), Found.end());
  }
  if (Environment.storeEnded())
    Lines.emplace_back("the store stand-in ended by itself");
  return Lines;
}

void soak_run::sendAfterFaults() {
  ++ActiveCallers;
  boost::asio::spawn(
      boost::asio::make_strand(Pool.context()),
      [this](boost::asio::yield_context Yield) {
        constexpr int Rounds = 3;
        soak_caller Caller(Environment, AfterFaultsLog, RunStart, "after",
                           Seed);
        for (int Gateway = 0; Gateway < soak_environment::Gateways; ++Gateway) {
          for (int I = 0; I < Rounds; ++I) {
            Caller.send(request_kind::NonIdempotent, Gateway, 1, Yield);
            Caller.send(request_kind::Idempotent, Gateway, 1, Yield);
            Caller.send(request_kind::Probe, Gateway, Version, Yield);
          }
          Caller.send(request_kind::Stream, Gateway, 1, Yield);
        }
        --ActiveCallers;
      },
      boost::asio::detached);
}
