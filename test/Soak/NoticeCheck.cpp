#include "NoticeCheck.h"
#include <algorithm>

using namespace bluebellkeel;

/// Bounds of the users' rules.
static constexpr milliseconds ContactTime{3000};
static constexpr milliseconds LimitWindow{4000};
static constexpr milliseconds LearningTime{500};
static constexpr milliseconds DrainTime{2000};
static constexpr double LimitOverage = 1.5;
static constexpr double LimitSlack = 5;
static constexpr int AllowedDuringPause = 2;

namespace {

/// An arrival together with the process of a gateway that sent it.
struct sent_arrival {
  const runner_arrival *Arrival;
  const soak_attempt *Attempt;

  /// Identifies one process of a gateway.
  std::pair<int, int> sender() const {
    return {Attempt->gateway(), Attempt->incarnation()};
  }
  std::string text() const {
    return Attempt->id() + " of gateway " + std::to_string(Attempt->gateway()) +
           " at " + Arrival->process() + ", " +
           std::to_string(Arrival->at().count()) + " ms";
  }
};

using arrival_list = std::vector<sent_arrival>;

} // namespace

/// Returns the arrivals at each process of a runner, ordered by time.
static std::map<std::string, arrival_list>
arrivalsByProcess(const soak_history &History) {
  std::map<std::string, const soak_attempt *> Attempts;
  for (const auto &Attempt : History.Attempts)
    Attempts[Attempt.id()] = &Attempt;
  std::map<std::string, arrival_list> ByProcess;
  for (const auto &Arrival : History.Arrivals) {
    auto Attempt = Attempts.find(Arrival.request());
    if (Attempt != Attempts.end())
      ByProcess[Arrival.process()].push_back({&Arrival, Attempt->second});
  }
  for (auto &[Process, Arrivals] : ByProcess)
    std::stable_sort(Arrivals.begin(), Arrivals.end(),
                     [](const sent_arrival &L, const sent_arrival &R) {
                       return L.Arrival->at() < R.Arrival->at();
                     });
  return ByProcess;
}

/// True if a freeze or an end of the gateway excuses it between the two times.
static bool isExcused(const soak_history &History, const sent_arrival &Sent,
                      milliseconds From, milliseconds To) {
  return std::any_of(History.Faults.begin(), History.Faults.end(),
                     [&](const soak_fault &Fault) {
                       bool Stops = Fault.kind() == fault_kind::PauseGateway ||
                                    Fault.kind() == fault_kind::KillGateway ||
                                    Fault.kind() == fault_kind::StopGateway;
                       return Stops &&
                              Fault.target() == Sent.Attempt->gateway() &&
                              Fault.start() <= To && Fault.end() >= From;
                     });
}

static void checkLimit(const soak_history &History,
                       const arrival_list &Arrivals,
                       std::vector<std::string> &Lines) {
  std::map<std::pair<int, int>, milliseconds> ToldAt;
  milliseconds NamedAt = milliseconds::max();
  arrival_list Counted;
  for (const auto &Sent : Arrivals) {
    milliseconds At = Sent.Arrival->at();
    const auto &Limit = Sent.Arrival->limit();
    if (!Limit) {
      NamedAt = milliseconds::max();
      ToldAt.clear();
      Counted.clear();
      continue;
    }
    NamedAt = std::min(NamedAt, At);
    auto Told = ToldAt.emplace(Sent.sender(), At).first->second;
    if (At >= Told + LearningTime &&
        !isExcused(History, Sent, At - LimitWindow, At))
      Counted.push_back(Sent);
    auto InWindow = std::count_if(
        Counted.begin(), Counted.end(), [At](const sent_arrival &Other) {
          return Other.Arrival->at() > At - LimitWindow;
        });
    double Allowed = LimitOverage * *Limit *
                         std::chrono::duration<double>(LimitWindow).count() +
                     LimitSlack;
    if (At - ContactTime >= NamedAt && static_cast<double>(InWindow) > Allowed)
      Lines.push_back(std::to_string(InWindow) + " requests in 4 s with " +
                      Sent.text() + "; its limit allows " +
                      std::to_string(Allowed));
  }
}

static void checkLeaving(const soak_history &History,
                         const arrival_list &Arrivals,
                         std::vector<std::string> &Lines) {
  std::map<std::pair<int, int>, milliseconds> ToldAt;
  for (const auto &Sent : Arrivals) {
    if (!Sent.Arrival->leaving())
      continue;
    milliseconds Told =
        ToldAt.emplace(Sent.sender(), Sent.Arrival->at()).first->second;
    if (Sent.Attempt->sent() > Told + DrainTime &&
        !isExcused(History, Sent, Told, Sent.Arrival->at()))
      Lines.push_back(Sent.text() + ": the runner had said that it leaves");
  }
}

static void checkPauses(const soak_history &History,
                        const arrival_list &Arrivals,
                        std::vector<std::string> &Lines) {
  for (const auto &Refused : Arrivals) {
    milliseconds Pause = Refused.Arrival->pause();
    milliseconds At = Refused.Arrival->at();
    if (Pause.count() == 0)
      continue;
    auto During = std::count_if(
        Arrivals.begin(), Arrivals.end(), [&](const sent_arrival &Sent) {
          return Sent.sender() == Refused.sender() &&
                 Sent.Arrival->at() > At + LearningTime &&
                 Sent.Arrival->at() < At + Pause;
        });
    if (During > AllowedDuringPause &&
        !isExcused(History, Refused, At, At + Pause))
      Lines.push_back(std::to_string(During) +
                      " requests during the pause after " + Refused.text());
  }
}

std::vector<std::string>
notice_check::violations(const soak_history &History) const {
  std::vector<std::string> Lines;
  for (const auto &[Process, Arrivals] : arrivalsByProcess(History)) {
    checkLimit(History, Arrivals, Lines);
    checkLeaving(History, Arrivals, Lines);
    checkPauses(History, Arrivals, Lines);
  }
  return Lines;
}
