#ifndef UNITTESTS_GATEWAY_SCRIPTEDSERVER_H
#define UNITTESTS_GATEWAY_SCRIPTEDSERVER_H

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "bluebellkeel/Http/StoppableServer.h"
#include <optional>
#include <string>
#include <vector>

namespace bluebellkeel {

/// A server that handles one request, which begins as soon as the server was
/// found idle.
class scripted_server final : public stoppable_server {
public:
  /// \param Duration how long the request takes.
  void beginOnceIdle(milliseconds Duration) { Pending = Duration; }

  void disableKeepAlive() override { Calls.emplace_back("disableKeepAlive"); }
  void drain() override { Calls.emplace_back("drain"); }
  void closeIdle() override { Calls.emplace_back("closeIdle"); }
  void refuseIncomplete() override { Calls.emplace_back("refuseIncomplete"); }
  const std::vector<std::string> &calls() const { return Calls; }

  std::size_t active() const override {
    return RunsUntil && absl::Now() < *RunsUntil ? 1 : 0;
  }

  std::size_t connections() const override { return active(); }

  bool awaitIdle(milliseconds Limit) const override {
    bool Idle = awaitEnd(Limit);
    if (Idle && Pending) {
      RunsUntil = absl::Now() + absl::FromChrono(*Pending);
      Pending.reset();
    }
    return Idle;
  }

  bool awaitClosed(milliseconds Limit) const override {
    return awaitEnd(Limit);
  }

private:
  std::vector<std::string> Calls;
  bool awaitEnd(milliseconds Limit) const {
    if (!RunsUntil)
      return true;
    absl::SleepFor(std::min(*RunsUntil - absl::Now(), absl::FromChrono(Limit)));
    return active() == 0;
  }

  mutable std::optional<milliseconds> Pending;
  mutable std::optional<absl::Time> RunsUntil;
};

} // namespace bluebellkeel

#endif // UNITTESTS_GATEWAY_SCRIPTEDSERVER_H
