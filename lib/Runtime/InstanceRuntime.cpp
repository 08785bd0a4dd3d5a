#include "bluebellkeel/Runtime/InstanceRuntime.h"
#include "PeriodicTask.h"
#include "RuntimeContext.h"
#include "TaskWaker.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "bluebellkeel/Frontend.h"
#include "bluebellkeel/Http/CloseConnections.h"
#include "bluebellkeel/Http/HttpServer.h"
#include "bluebellkeel/Telemetry/ComponentLogger.h"
#include <thread>

using namespace bluebellkeel;

/// Intervals of the periodic tasks.
static constexpr milliseconds SettingsInterval{1000};
static constexpr milliseconds ListInterval{1000};
static constexpr milliseconds HeartbeatInterval{1000};
static constexpr milliseconds OwnershipInterval{500};
static constexpr milliseconds GrantInterval{500};
static constexpr milliseconds LoadInterval{500};
static constexpr milliseconds RatingInterval{1000};

/// Times at the end of a shutdown for requests that have arrived in part, and
/// for the responses to those that did not arrive whole.
static constexpr milliseconds RestArrivalTime{1000};
static constexpr milliseconds LastResponseTime{300};

class instance_runtime::impl {
public:
  explicit impl(const startup_settings &Startup)
      : Context(Startup), Waker(GrantTask) {}

  tl::expected<void, std::string> start();
  std::size_t shutDown();
  void expediteShutdown();

private:
  void startTasks();
  void stopTasks();
  void readSettings();
  void askPeersForSettings();
  void readList();
  void updateMetrics();
  frontend_context frontendContext();
  void waitUnlessExpedited(milliseconds Time);
  std::size_t waitForRequests();
  void flushWriters();

  component_logger Log{"runtime"};
  runtime_context Context;
  periodic_task SettingsTask{[this] { readSettings(); }, SettingsInterval};
  periodic_task ListTask{[this] { readList(); }, ListInterval};
  periodic_task HeartbeatTask{[this] { Context.HeartbeatPoller.run(); },
                              HeartbeatInterval};
  periodic_task OwnershipTask{[this] { Context.Ownership.run(); },
                              OwnershipInterval};
  periodic_task GrantTask{[this] { Context.GrantRequester.run(); },
                          GrantInterval};
  periodic_task LoadTask{[this] { Context.LoadPoller.run(); }, LoadInterval};
  periodic_task RatingTask{[this] { Context.Ratings.run(); }, RatingInterval};
  task_waker Waker;
  std::unique_ptr<frontend_context> FrontendContext;
  std::unique_ptr<frontend_handler> Handler;
  std::unique_ptr<thread_pool> Pool;
  std::unique_ptr<http_server> Server;
  std::vector<std::thread> WriterThreads;
  absl::Notification ShutdownExpedited;
};

frontend_context instance_runtime::impl::frontendContext() {
  return frontend_context{
      Context.Startup,        Context.Clock,         Context.Random,
      Context.Settings,       Context.Publisher,     Context.Serving,
      Context.InstanceStatus, Context.Instances,     Context.Peers,
      Context.Upstreams,      Context.Grants,        Waker,
      Context.Admission,      Context.Health,        Context.Quality,
      Context.Crashes,        Context.CrashReporter, Context.Planner,
      Context.Chooser,        Context.Candidates,    Context.Retries,
      Context.Tickets,        Context.Sessions,      Context.Claims,
      Context.Bills,          Context.BillLog,       Context.Ratings,
      Context.Metrics};
}

tl::expected<void, std::string> instance_runtime::impl::start() {
  const startup_settings &Startup = Context.Startup;
  auto Linked = Context.Link.start(Startup.PeerAddress, Context.PeerResponder);
  if (!Linked)
    return Linked;
  FrontendContext = std::make_unique<frontend_context>(frontendContext());
  Handler = std::make_unique<frontend_handler>(*FrontendContext);
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
  WriterThreads.emplace_back([this] { Context.Bills.run(); });
  WriterThreads.emplace_back([this] { Context.Claims.run(); });
  WriterThreads.emplace_back([this] { Context.Publisher.run(); });
}

void instance_runtime::impl::readSettings() {
  bool CaughtUp = Context.Follower.pollOnce();
  if (!CaughtUp && Context.Settings.state()->applied() == log_offset())
    askPeersForSettings();
  Context.Serving.onSettingsRead();
  Context.Claims.refreshHead();
  if (CaughtUp &&
      Context.Follower.snapshotIfDue(Context.Startup.Limits.SnapshotInterval))
    Log.info("A snapshot of the settings was appended.");
  updateMetrics();
}

/// Requests settings from peers if this instance starts while the log is
/// unavailable. Settings of a peer are valid, since the peer read them from the
/// log.
void instance_runtime::impl::askPeersForSettings() {
  auto Peers = Context.Instances.peers();
  for (const auto &Peer : *Peers) {
    Context.Link.sendQuery(
        Peer, state_query(), [this](std::optional<peer_body> Body) {
          const auto *Answer =
              Body ? std::get_if<state_answer>(&*Body) : nullptr;
          if (Answer && Context.Settings.replaceIfNewer(Answer->state()))
            Log.info("Settings were taken from a peer.");
        });
  }
}

void instance_runtime::impl::readList() {
  auto Read = Context.ListReader.read();
  if (!Read) {
    Log.debug("The platform's list could not be read.");
    return;
  }
  if (!*Read)
    return;
  const platform_list &List = **Read;
  milliseconds Interval = appendIntervalFor(
      List.instances().size(), Context.Startup.Limits.AppendInterval);
  Context.Bills.setAppendInterval(Interval);
  Context.Claims.setAppendInterval(Interval);
  Context.Instances.replace(List.instances());
  Context.Upstreams.replace(List.upstreams());
}

void instance_runtime::impl::updateMetrics() {
  constexpr double Never = -1;
  constexpr double MillisPerSecond = 1000;
  auto Age = Context.Serving.settingsAge();
  Context.Metrics.setSettingsAge(
      Age ? static_cast<double>(Age->count()) / MillisPerSecond : Never);
  Context.Metrics.setSettingsAppliedOffset(
      static_cast<double>(Context.Settings.state()->applied().value()));
  Context.Metrics.setHeldBills(static_cast<double>(Context.Bills.held()));
  Context.Metrics.setActiveRequests(static_cast<double>(Server->active()));
}

void instance_runtime::impl::expediteShutdown() {
  if (!ShutdownExpedited.HasBeenNotified())
    ShutdownExpedited.Notify();
  if (Server)
    Server->endWait();
}

void instance_runtime::impl::waitUnlessExpedited(milliseconds Time) {
  ShutdownExpedited.WaitForNotificationWithTimeout(absl::FromChrono(Time));
}

std::size_t instance_runtime::impl::waitForRequests() {
  Server->awaitIdle(Context.Startup.Limits.Drain);
  monotonic_time RestBy = std::chrono::steady_clock::now() + RestArrivalTime;
  closeConnections(*Server, RestBy, RestBy + LastResponseTime);
  return Server->active();
}

void instance_runtime::impl::flushWriters() {
  Context.Bills.stop();
  Context.Claims.stop();
  Context.Publisher.stop();
  for (auto &Thread : WriterThreads)
    Thread.join();
}

std::size_t instance_runtime::impl::shutDown() {
  Log.info("Shutdown begins; callers are redirected.");
  Context.Serving.setStage(serving_stage::Redirecting);
  waitUnlessExpedited(serving_state::RedirectDuration);
  Context.Serving.setStage(serving_stage::Draining);
  Server->drain();
  std::size_t Cut = waitForRequests();
  Context.Metrics.countCutAtShutdown(Cut);
  if (Cut > 0)
    Log.warn(absl::StrCat(Cut, " requests were cut off."));
  Pool->stop();
  flushWriters();
  stopTasks();
  Context.Link.stop();
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

void instance_runtime::expediteShutdown() { Impl->expediteShutdown(); }
