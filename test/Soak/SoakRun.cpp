#include "SoakRun.h"
#include "SoakCaller.h"
#include "absl/time/clock.h"
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <csignal>

using namespace bluebellkeel;

static constexpr int Callers = 24;
static constexpr milliseconds Tick{50};
static constexpr milliseconds ConfigureEvery{1500};
static constexpr milliseconds CheckEvery{3000};

/// After the last fault: silent connections are given up within three seconds,
/// suspicion and retry budgets recover within the next few.
static constexpr milliseconds Settling{6000};
/// Until a gateway that was told to stop has ended and its successor serves.
static constexpr milliseconds EndLimit{20000};

soak_run::soak_run(std::uint64_t Seed, const std::string &Folder,
                   const std::string &Program,
                   const std::atomic<bool> &Cancelled)
    : Seed(Seed), Cancelled(Cancelled),
      Script(Seed, FaultTime, soak_world::Gateways, soak_world::Runners),
      World(Seed, Folder, Program, Pool) {
  History.Faults = Script.faults();
}

static void awaitTime(milliseconds Time) {
  absl::SleepFor(absl::FromChrono(Time));
}

soak_run::~soak_run() { Pool.stop(); }

void soak_run::plan() {
  for (const auto &Fault : Script.faults()) {
    Timeline.emplace(Fault.start(), [this, &Fault] { begin(Fault); });
    Timeline.emplace(Fault.end(), [this, &Fault] { end(Fault); });
  }
  for (auto At = ConfigureEvery; At < FaultTime; At += ConfigureEvery)
    Timeline.emplace(At, [this] { configure(); });
}

std::vector<std::string> soak_run::play() {
  Began = std::chrono::steady_clock::now();
  if (!World.start())
    return {"the gateways were not ready in time"};
  Began = std::chrono::steady_clock::now();
  History.Versions[1] = milliseconds(0);
  plan();
  startCallers();
  playTimeline();
  if (Cancelled)
    return {"cancelled"};
  awaitTime(Settling);
  Stop = true;
  sendAfterwards();
  while (CallersLeft > 0)
    awaitTime(Tick);
  return check();
}

void soak_run::startCallers() {
  for (int I = 0; I < Callers; ++I) {
    ++CallersLeft;
    auto Caller = std::make_shared<soak_caller>(
        World, Log, Began, "c" + std::to_string(I),
        Seed * Callers + static_cast<std::uint64_t>(I));
    boost::asio::spawn(
        boost::asio::make_strand(Pool.context()),
        [this, Caller](boost::asio::yield_context Yield) {
          Caller->run(Stop, Version, Yield);
          --CallersLeft;
        },
        boost::asio::detached);
  }
}

void soak_run::playTimeline() {
  milliseconds NextCheck = CheckEvery;
  milliseconds Last = FaultTime + EndLimit;
  while ((!Timeline.empty() || !allRunning()) && now() < Last && !Cancelled) {
    while (!Timeline.empty() && Timeline.begin()->first <= now()) {
      auto Action = Timeline.begin()->second;
      Timeline.erase(Timeline.begin());
      Action();
    }
    watchProcesses();
    if (now() >= NextCheck) {
      NextCheck += CheckEvery;
      if (!check().empty())
        return;
    }
    awaitTime(Tick);
  }
}

void soak_run::begin(const soak_fault &Fault) {
  switch (Fault.kind()) {
  case fault_kind::PauseGateway:
    return World.signalGateway(Fault.target(), SIGSTOP);
  case fault_kind::KillGateway:
    return killGateway(Fault.target());
  case fault_kind::StopGateway:
    return beginStop(Fault.target());
  case fault_kind::PauseRunner:
    return World.signalRunner(Fault.target(), SIGSTOP);
  case fault_kind::KillRunner:
    RunnerDown[Fault.target()] = true;
    return World.killRunner(Fault.target());
  case fault_kind::StoreLink:
    return World.setStoreLink(Fault.target(), Fault.mode());
  case fault_kind::RunnerLink:
    return World.setRunnerLink(Fault.target(), Fault.mode());
  case fault_kind::PauseStore:
    return World.signalStore(SIGSTOP);
  }
}

void soak_run::end(const soak_fault &Fault) {
  switch (Fault.kind()) {
  case fault_kind::PauseGateway:
    return World.signalGateway(Fault.target(), SIGCONT);
  case fault_kind::KillGateway:
    return restartGateway(Fault.target());
  case fault_kind::StopGateway:
    return;
  case fault_kind::PauseRunner:
    return World.signalRunner(Fault.target(), SIGCONT);
  case fault_kind::KillRunner:
    if (RunnerDown[Fault.target()])
      World.startRunner(Fault.target());
    RunnerDown[Fault.target()] = false;
    return;
  case fault_kind::StoreLink:
    return World.setStoreLink(Fault.target(), link_mode::Pass);
  case fault_kind::RunnerLink:
    return World.setRunnerLink(Fault.target(), link_mode::Pass);
  case fault_kind::PauseStore:
    return World.signalStore(SIGCONT);
  }
}

void soak_run::beginStop(int Gateway) {
  if (stateOf(Gateway) != process_state::Running)
    return;
  stateOf(Gateway) = process_state::Stopping;
  StopAsked.at(static_cast<std::size_t>(Gateway)) = now();
  World.signalGateway(Gateway, SIGTERM);
}

void soak_run::killGateway(int Gateway) {
  stateOf(Gateway) = process_state::Down;
  World.killGateway(Gateway);
}

void soak_run::restartGateway(int Gateway) {
  if (stateOf(Gateway) != process_state::Down)
    return;
  World.startGateway(Gateway);
  stateOf(Gateway) = process_state::Running;
}

void soak_run::watchProcesses() {
  for (int Gateway = 0; Gateway < soak_world::Gateways; ++Gateway) {
    if (stateOf(Gateway) == process_state::Down || !World.gatewayEnded(Gateway))
      continue;
    bool Asked = stateOf(Gateway) == process_state::Stopping;
    int Code = World.waitForGateway(Gateway);
    if (Asked)
      History.Ends.emplace_back(Gateway,
                                StopAsked.at(static_cast<std::size_t>(Gateway)),
                                now(), Code);
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
  ++Written;
  if (!World.configure(Written))
    return;
  History.Versions[Written] = now();
  Version = Written;
}

std::vector<std::string> soak_run::check() {
  History.Attempts = Log.all();
  History.Afterwards = AfterLog.all();
  History.Runs = World.runs();
  std::vector<std::string> Lines;
  for (const auto &Check : allSoakChecks()) {
    auto Found = Check->violations(History);
    Lines.insert(Lines.end(), Found.begin(), Found.end());
  }
  return Lines;
}

void soak_run::sendAfterwards() {
  ++CallersLeft;
  boost::asio::spawn(
      boost::asio::make_strand(Pool.context()),
      [this](boost::asio::yield_context Yield) {
        constexpr int Rounds = 3;
        soak_caller Caller(World, AfterLog, Began, "after", Seed);
        for (int Gateway = 0; Gateway < soak_world::Gateways; ++Gateway) {
          for (int I = 0; I < Rounds; ++I) {
            Caller.send(request_kind::Once, Gateway, 1, Yield);
            Caller.send(request_kind::Again, Gateway, 1, Yield);
            Caller.send(request_kind::Probe, Gateway, Version, Yield);
          }
          Caller.send(request_kind::Stream, Gateway, 1, Yield);
        }
        --CallersLeft;
      },
      boost::asio::detached);
}
