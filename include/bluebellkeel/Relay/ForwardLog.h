#ifndef BLUEBELLKEEL_RELAY_FORWARDLOG_H
#define BLUEBELLKEEL_RELAY_FORWARDLOG_H

#include "bluebellkeel/Relay/ForwardAdmission.h"
#include "bluebellkeel/Relay/ForwardProgress.h"

namespace bluebellkeel {

/// Logs the decisions about one call.
class forward_log {
public:
  forward_log(const forward_dependencies &Deps, const forward_call &Call,
              const forward_admission &Admission,
              const forward_progress &Progress)
      : Deps(Deps), Call(Call), Admission(Admission), Progress(Progress) {}

  void dispatch(const placement_candidate &Target, const std::string &Model,
                milliseconds TimeLeft) const;
  void attemptFailed(const upstream_id &Upstream, attempt_error Error) const;
  void readsOn(const upstream_id &Upstream) const;
  void largerModel(const std::string &From, const std::string &To,
                   double Confidence) const;
  /// Logs what an upstream says of itself where that has changed.
  void notice(const upstream_listing &Upstream,
              const upstream_notice &Notice) const;
  void finished(std::string_view Outcome, int Status, const std::string &Model,
                std::optional<std::uint64_t> LastEvent) const;

private:
  milliseconds since(monotonic_time Time) const;

  const forward_dependencies &Deps;
  const forward_call &Call;
  const forward_admission &Admission;
  const forward_progress &Progress;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDLOG_H
