#ifndef BLUEBELLKEEL_RELAY_FORWARDRELAY_H
#define BLUEBELLKEEL_RELAY_FORWARDRELAY_H

#include "bluebellkeel/Relay/AttemptRecorder.h"
#include "bluebellkeel/Relay/ForwardAdmission.h"
#include "bluebellkeel/Relay/ForwardCaller.h"
#include "bluebellkeel/Relay/ForwardCandidates.h"
#include "bluebellkeel/Relay/ForwardLog.h"
#include "bluebellkeel/Relay/ForwardProgress.h"
#include "bluebellkeel/Relay/ForwardUpstream.h"
#include "bluebellkeel/Relay/ScopedRequestLoad.h"
#include "bluebellkeel/Relay/StreamForwarder.h"
#include <memory>

namespace bluebellkeel {

/// Forwards one request to an upstream and the response to the caller. Chooses
/// the model and the upstream, retries, and reports failures so that a request
/// that may have run is never reported as not run.
class forward_relay {
public:
  forward_relay(const forward_dependencies &Deps, forward_upstream &Upstreams,
                forward_caller &Caller,
                std::shared_ptr<const forward_call> Call);

  /// Returns once the caller has the final response or is gone.
  void run();

private:
  /// What to do after an attempt.
  enum class next_action { Done, Retry };

  std::optional<refusal_reason> revalidate();
  void sendUntilDone();
  tl::expected<placement_candidate, no_candidate> choose();
  tl::expected<placement_candidate, no_candidate> nextTarget();
  bool reserveRetry();
  next_action send(const placement_candidate &Target);
  void noteRead(const placement_candidate &Target, std::uint64_t Prefill);
  void noteFirstToken();
  next_action handleResponseHead(const upstream_listing &Upstream,
                                 scoped_request_load &RequestLoad,
                                 upstream_response &Response);
  next_action handleAttemptError(const upstream_listing &Upstream,
                                 attempt_error Error);
  next_action forwardBody(const upstream_listing &Upstream,
                          upstream_response &Response);
  next_action forwardStream(const upstream_listing &Upstream,
                            upstream_response &Response);
  bool escalateModel(const upstream_response &Response);
  bool reserveReplacement(const upstream_listing &Upstream);
  bool reserveNext();
  next_action handleCallerGone();

  forward_attempt attemptAt(const upstream_listing &Upstream) const;
  model_query modelQuery() const;
  std::string modelName() const;
  double relativeTokenTime() const;
  bool hasLargerModel() const;
  bool runsLeft() const { return Progress.Runs < route().attempts(); }
  bool repeatable() const { return route().repeatable(); }
  /// Returns true if a request that may have run may be sent once more.
  bool mayRunAgain() const { return mayRunAgain(route()); }
  bool mayRunAgain(const forward_route &Route) const;
  void refuse(refusal_reason Reason);
  void refuse(refusal_reason Reason, milliseconds RetryAfter);
  void refuseWithoutTarget(const no_candidate &Reason);
  int refusalStatus(refusal_reason Reason) const;
  void logEnd(std::string_view Outcome, int Status) const;
  milliseconds elapsed() const;
  milliseconds timeLeft() const;
  const forward_route &route() const { return Admission.route(); }
  const service_id &service() const {
    return Admission.serviceConfig().service();
  }

  const forward_dependencies &Deps;
  forward_upstream &Upstreams;
  forward_caller &Caller;
  std::shared_ptr<const forward_call> Call;
  forward_limit Limit;
  forward_admission Admission;
  forward_candidates Candidates;
  forward_progress Progress;
  forward_log Log;
  bool RetryReserved = false;
  /// Upstream for the next attempt, chosen while the response of the attempt
  /// before could still be used.
  std::optional<placement_candidate> ReservedTarget;
  /// Index of the chosen model in forward_route::sizes().
  std::size_t ModelIndex = 0;
  stream_forwarder Stream;
  attempt_recorder Recorder;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDRELAY_H
