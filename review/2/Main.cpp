#include "../standins/FragileRunner.h"
#include <atomic>
#include <cstdlib>
#include <map>
#include <thread>

using namespace review;

static constexpr unsigned MemoryMb = 110;
static constexpr unsigned Runners = 9;
static constexpr unsigned TimeoutMs = 20000;
static constexpr unsigned ObjectiveMs = 2000;
/// contact_ms of the settings.
static constexpr milliseconds Contact{3000};

/// One request in twenty holds the deadly part.
static constexpr milliseconds SoundInterval{50};
static constexpr milliseconds DeadlyInterval{1000};
static constexpr milliseconds DeadlyFrom{5000};
static constexpr milliseconds CaseTime{32000};
/// Crashes from which the bounds count, and least number of requests to judge.
static constexpr unsigned FifthCrash = 5;
static constexpr unsigned FewestRequests = 20;
/// Requests with the deadly part that may reach runners after that.
static constexpr unsigned AllowedArrivals = 3;

namespace {

class observations final : public fragile_runner::observer {
public:
  explicit observations(const record &Record) : Record(Record) {}

  void onArrival(const std::string &Request, bool Deadly) override {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Arrivals[Request];
    bool Late = FifthAt && Record.sinceStart() > *FifthAt + Contact;
    LateArrivals += Deadly && Late ? 1 : 0;
  }
  void onBegin(const std::string &Request) override {
    std::lock_guard<std::mutex> Lock(Mutex);
    // Only the first attempt counts.
    if (Arrivals[Request] == 1)
      Began[Request] = true;
  }
  void onCrash(std::size_t OpenRequests) override {
    std::lock_guard<std::mutex> Lock(Mutex);
    Broken += OpenRequests;
    if (++Crashes == FifthCrash)
      FifthAt = Record.sinceStart();
  }

  bool began(const std::string &Request) const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Began.count(Request) > 0;
  }
  /// Time from which sound requests are judged; empty if there was no crash.
  std::optional<milliseconds> fifthAt() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return FifthAt;
  }
  unsigned crashes() const { return Crashes; }
  unsigned lateArrivals() const { return LateArrivals; }
  std::size_t broken() const { return Broken; }

private:
  const record &Record;
  mutable std::mutex Mutex;
  std::map<std::string, unsigned> Arrivals;
  std::map<std::string, bool> Began;
  std::optional<milliseconds> FifthAt;
  unsigned Crashes = 0;
  unsigned LateArrivals = 0;
  std::size_t Broken = 0;
};

struct sent_request {
  std::string Id;
  milliseconds At;
};

/// The share of \p Requests sent from \p From to \p To that began at the first
/// attempt.
struct begin_share {
  unsigned Sent = 0;
  unsigned Began = 0;
  double share() const { return Sent == 0 ? 1 : double(Began) / Sent; }
  std::string text() const {
    return std::to_string(Began) + " of " + std::to_string(Sent);
  }
};

} // namespace

static begin_share shareOf(const std::vector<sent_request> &Requests,
                           milliseconds From, milliseconds To,
                           const observations &Seen) {
  begin_share Share;
  for (const auto &Request : Requests) {
    if (Request.At < From || Request.At >= To)
      continue;
    ++Share.Sent;
    Share.Began += Seen.began(Request.Id) ? 1 : 0;
  }
  return Share;
}

/// The environment may ask for another moment of the crash.
static fragile_runner::written writtenBeforeCrash() {
  const char *Value = std::getenv("WRITTEN");
  std::string Name = Value ? Value : "";
  if (Name == "nothing")
    return fragile_runner::written::Nothing;
  return Name == "head" ? fragile_runner::written::Head
                        : fragile_runner::written::FirstEvent;
}

int main(int, char **Arguments) {
  deployment Deployment(Arguments[1]);
  record &Record = Deployment.log();
  observations Seen(Record);
  auto Written = writtenBeforeCrash();
  std::vector<std::unique_ptr<fragile_runner>> Engines;
  Deployment.configure(
      {{"draft", "streaming", "engine", TimeoutMs, ObjectiveMs, 3}});
  for (unsigned I = 0; I < Runners; ++I) {
    Engines.push_back(std::make_unique<fragile_runner>(
        "i-" + std::to_string(I), Deployment, "engine", "dead", Written, Seen));
    Engines.back()->start();
  }
  gateway &Gateway = Deployment.startGateway("edge-1", MemoryMb);

  std::vector<std::thread> Threads;
  std::vector<sent_request> Sound;
  std::atomic<unsigned> Failed{0};
  auto Send = [&](const std::string &Id, const std::string &Part,
                  bool IsSound) {
    Record.write("client sends " + Id);
    Threads.emplace_back([&, Id, Part, IsSound] {
      connection Connection(connection::dial(Gateway.callerPort()));
      message Request = makeRequest("draft", Id, TimeoutMs, Id);
      Request.Fields.emplace_back("Bluebellkeel-Prompt-Prefix",
                                  "aa:500," + Part + ":200," + Id + ":30");
      Connection.send(format(Request));
      message Response;
      bool Whole = Connection.read(Response) == read_result::Complete;
      Failed += IsSound && (!Whole || Response.status() != 200) ? 1 : 0;
      Record.write("client gets " + std::to_string(Response.status()) +
                   (Whole ? "" : ", cut off,") + " for " + Id);
    });
  };
  milliseconds NextDeadly = DeadlyFrom;
  while (Record.sinceStart() < CaseTime) {
    std::string Number = std::to_string(Threads.size());
    Sound.push_back({"50" + Number, Record.sinceStart()});
    Send(Sound.back().Id, "b" + std::to_string(Threads.size() % 4),
         /*IsSound=*/true);
    if (withTrouble() && Record.sinceStart() >= NextDeadly) {
      Send("de" + Number, "dead", /*IsSound=*/false);
      NextDeadly += DeadlyInterval;
    }
    std::this_thread::sleep_for(SoundInterval);
  }
  for (auto &Thread : Threads)
    Thread.join();

  begin_share Before = shareOf(Sound, milliseconds(0), DeadlyFrom, Seen);
  begin_share During;
  if (auto Fifth = Seen.fifthAt())
    During = shareOf(Sound, *Fifth + 2 * Contact, CaseTime, Seen);
  bool Lost = Before.Sent >= FewestRequests && During.Sent >= FewestRequests &&
              During.share() < Before.share() / 2;
  bool Budget = Seen.lateArrivals() > AllowedArrivals;
  std::string Figures =
      std::to_string(Seen.lateArrivals()) +
      " late arrivals with the part (BUDGET " + (Budget ? "broken" : "held") +
      "); " + std::to_string(Seen.crashes()) + " crashes, which broke off " +
      std::to_string(Seen.broken()) + " requests; " + std::to_string(Failed) +
      " of " + std::to_string(Sound.size()) +
      " sound requests failed; began at the first attempt: " + Before.text() +
      " before, " + During.text() + " from 6 s after the fifth crash (LOST " +
      (Lost ? "broken" : "held") + ")";
  Deployment.finish(Budget || Lost ? Broken : Held, Figures);
}
