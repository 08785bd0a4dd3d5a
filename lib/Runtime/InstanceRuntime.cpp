#include "bluebellkeel/Runtime/InstanceRuntime.h"
#include "PeriodicTask.h"
#include "RuntimeParts.h"
#include "TaskWaker.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "bluebellkeel/Frontend.h"
#include "bluebellkeel/Http/HttpServer.h"
#include "bluebellkeel/Telemetry/ComponentLogger.h"
#include <thread>

using namespace bluebellkeel;

/// How often each round runs.
static constexpr milliseconds SettingsInterval{1000};
static constexpr milliseconds ListInterval{1000};
static constexpr milliseconds HeartbeatInterval{1000};
static constexpr milliseconds OwnershipInterval{500};
static constexpr milliseconds GrantInterval{500};
static constexpr milliseconds LoadInterval{500};
static constexpr milliseconds RatingInterval{1000};

class instance_runtime::impl {
public:
  explicit impl(const startup_settings &Startup)
      : Parts(Startup), Waker(GrantTask) {}

  tl::expected<void, std::string> start();
  std::size_t shutDown();
  void hurry();

private:
  void startTasks();
  void stopTasks();
  void readSettings();
  void askPeersForSettings();
  void readList();
  void showState();
  frontend_parts frontendParts();
  void waitHurried(milliseconds Time);
  std::size_t waitForRequests();
  void flushLedgers();

  component_logger Log{"runtime"};
  runtime_parts Parts;
  periodic_task SettingsTask{[this] { readSettings(); }, SettingsInterval};
  periodic_task ListTask{[this] { readList(); }, ListInterval};
  periodic_task HeartbeatTask{[this] { Parts.Heartbeats.run(); },
                              HeartbeatInterval};
  periodic_task OwnershipTask{[this] { Parts.Ownership.run(); },
                              OwnershipInterval};
  periodic_task GrantTask{[this] { Parts.GrantAsks.run(); }, GrantInterval};
  periodic_task LoadTask{[this] { Parts.Loads.run(); }, LoadInterval};
  periodic_task RatingTask{[this] { Parts.Ratings.run(); }, RatingInterval};
  task_waker Waker;
  std::unique_ptr<frontend_parts> Front;
  std::unique_ptr<frontend_handler> Handler;
  std::unique_ptr<thread_pool> Pool;
  std::unique_ptr<http_server> Server;
  std::vector<std::thread> Committers;
  absl::Notification Hurried;
};

frontend_parts instance_runtime::impl::frontendParts() {
  return frontend_parts{
      Parts.Startup,       Parts.Clock,     Parts.Random,   Parts.Settings,
      Parts.Publisher,     Parts.Serving,   Parts.Facts,    Parts.Instances,
      Parts.Peers,         Parts.Upstreams, Parts.Grants,   Waker,
      Parts.Admission,     Parts.Health,    Parts.Quality,  Parts.Crashes,
      Parts.CrashReporter, Parts.Planner,   Parts.Chooser,  Parts.Candidates,
      Parts.Retries,       Parts.Tickets,   Parts.Sessions, Parts.Claims,
      Parts.Bills,         Parts.BillLog,   Parts.Ratings,  Parts.Metrics};
}

tl::expected<void, std::string> instance_runtime::impl::start() {
  const startup_settings &Startup = Parts.Startup;
  auto Linked = Parts.Link.start(Startup.PeerAddress, Parts.Desk);
  if (!Linked)
    return Linked;
  Front = std::make_unique<frontend_parts>(frontendParts());
  Handler = std::make_unique<frontend_handler>(*Front);
  Pool = std::make_unique<thread_pool>(Startup.Limits.Threads);
  http_limits Limits(Startup.Limits.Connections, Startup.Limits.BodyBytes,
                     Startup.Limits.CallerWrite);
  Server = std::make_unique<http_server>(*Pool, *Handler, Limits);
  auto Listening = Server->listen(Startup.CallerAddress);
  if (!Listening)
    return Listening;
  startTasks();
  Log.info(absl::StrCat("Instance ", Startup.Instance.text(), " listens on ",
                        Startup.CallerAddress.text(), "."));
  return {};
}

void instance_runtime::impl::startTasks() {
  ListTask.start();
  SettingsTask.start();
  HeartbeatTask.start();
  OwnershipTask.start();
  LoadTask.start();
  GrantTask.start();
  RatingTask.start();
  Committers.emplace_back([this] { Parts.Bills.run(); });
  Committers.emplace_back([this] { Parts.Claims.run(); });
  Committers.emplace_back([this] { Parts.Publisher.run(); });
}

void instance_runtime::impl::readSettings() {
  bool CaughtUp = Parts.Follower.pollOnce();
  if (!CaughtUp && Parts.Settings.state()->applied() == log_offset())
    askPeersForSettings();
  Parts.Serving.noteSettings();
  Parts.Claims.refreshHead();
  if (CaughtUp &&
      Parts.Follower.snapshotIfDue(Parts.Startup.Limits.SnapshotInterval))
    Log.info("A snapshot of the settings was appended.");
  showState();
}

/// A start while the log is down: a peer's settings are as good as the log's,
/// since they came from there.
void instance_runtime::impl::askPeersForSettings() {
  auto Peers = Parts.Instances.peers();
  for (const auto &Peer : *Peers) {
    Parts.Link.sendQuery(
        Peer, state_query(), [this](std::optional<peer_body> Body) {
          const auto *Answer =
              Body ? std::get_if<state_answer>(&*Body) : nullptr;
          if (Answer && Parts.Settings.replaceIfNewer(Answer->state()))
            Log.info("Settings were taken from a peer.");
        });
  }
}

void instance_runtime::impl::readList() {
  auto Read = Parts.ListReader.read();
  if (!Read) {
    Log.debug("The platform's list was not read.");
    return;
  }
  if (!*Read)
    return;
  const platform_list &List = **Read;
  milliseconds Interval = appendIntervalFor(
      List.instances().size(), Parts.Startup.Limits.AppendInterval);
  Parts.Bills.setAppendInterval(Interval);
  Parts.Claims.setAppendInterval(Interval);
  Parts.Instances.replace(List.instances());
  Parts.Upstreams.replace(List.upstreams());
}

void instance_runtime::impl::showState() {
  constexpr double Never = -1;
  constexpr double MillisPerSecond = 1000;
  auto Age = Parts.Serving.settingsAge();
  Parts.Metrics.setSettingsAge(
      Age ? static_cast<double>(Age->count()) / MillisPerSecond : Never);
  Parts.Metrics.setSettingsAppliedOffset(
      static_cast<double>(Parts.Settings.state()->applied().value()));
  Parts.Metrics.setHeldBills(static_cast<double>(Parts.Bills.held()));
  Parts.Metrics.setActiveRequests(static_cast<double>(Server->active()));
}

void instance_runtime::impl::hurry() {
  if (!Hurried.HasBeenNotified())
    Hurried.Notify();
  if (Server)
    Server->endWait();
}

void instance_runtime::impl::waitHurried(milliseconds Time) {
  Hurried.WaitForNotificationWithTimeout(absl::FromChrono(Time));
}

std::size_t instance_runtime::impl::waitForRequests() {
  if (!Hurried.HasBeenNotified())
    Server->awaitIdle(Parts.Startup.Limits.Drain);
  return Server->active();
}

void instance_runtime::impl::flushLedgers() {
  Parts.Bills.stop();
  Parts.Claims.stop();
  Parts.Publisher.stop();
  for (auto &Thread : Committers)
    Thread.join();
}

std::size_t instance_runtime::impl::shutDown() {
  Log.info("Shutdown begins; callers are led away.");
  Parts.Serving.setStage(serving_stage::Redirecting);
  waitHurried(serving_state::LeadAwayTime);
  Parts.Serving.setStage(serving_stage::Draining);
  Server->drain();
  std::size_t Cut = waitForRequests();
  Parts.Metrics.countCutAtShutdown(Cut);
  if (Cut > 0)
    Log.warn(absl::StrCat(Cut, " requests were cut."));
  Pool->stop();
  flushLedgers();
  stopTasks();
  Parts.Link.stop();
  Log.info("Shutdown is complete.");
  return Cut;
}

void instance_runtime::impl::stopTasks() {
  for (auto *Task : {&SettingsTask, &ListTask, &HeartbeatTask, &OwnershipTask,
                     &GrantTask, &LoadTask, &RatingTask})
    Task->stop();
}

instance_runtime::instance_runtime(const startup_settings &Startup)
    : Impl(std::make_unique<impl>(Startup)) {}

instance_runtime::~instance_runtime() = default;

tl::expected<void, std::string> instance_runtime::start() {
  return Impl->start();
}

std::size_t instance_runtime::shutDown() { return Impl->shutDown(); }

void instance_runtime::hurry() { Impl->hurry(); }
