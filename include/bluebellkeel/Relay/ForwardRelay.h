#ifndef BLUEBELLKEEL_RELAY_FORWARDRELAY_H
#define BLUEBELLKEEL_RELAY_FORWARDRELAY_H

#include "bluebellkeel/Relay/EventSplitter.h"
#include "bluebellkeel/Relay/ForwardCaller.h"
#include "bluebellkeel/Relay/ForwardCandidates.h"
#include "bluebellkeel/Relay/ForwardLimit.h"
#include "bluebellkeel/Relay/ForwardPorts.h"
#include "bluebellkeel/Relay/ForwardUpstream.h"
#include "bluebellkeel/Relay/LoadTicket.h"
#include <memory>
#include <set>

namespace bluebellkeel {

/// Brings one request to an upstream and the answer back: admission, choice of
/// model and upstream, repeats, and the truth of what the caller is told.
class forward_relay {
public:
  forward_relay(const forward_ports &Ports, forward_upstream &Upstreams,
                forward_caller &Caller,
                std::shared_ptr<const forward_call> Call);

  /// Returns once the caller has its final answer or is gone.
  void run();

private:
  /// What to do after a sending.
  enum class step { Done, Again };

  std::optional<refusal_reason> admit();
  std::optional<refusal_reason> readmit();
  std::optional<refusal_reason> checkRoute(const route_table &Table);
  std::optional<refusal_reason> checkTime() const;
  void sendUntilDone();
  std::optional<placement_candidate> choose();
  bool mayRepeat();
  step send(const placement_candidate &Target);
  step afterHead(const upstream_listing &Upstream, load_ticket &Ticket,
                 upstream_answer &Answer);
  step afterError(const upstream_listing &Upstream, attempt_error Error);
  step forwardWhole(const upstream_listing &Upstream, upstream_answer &Answer);
  step forwardStream(const upstream_listing &Upstream, upstream_answer &Answer);
  std::optional<step> passEvents(const upstream_listing &Upstream,
                                 const std::vector<stream_event> &Events);
  step endStream(const upstream_listing &Upstream);
  bool asksLargerModel(const upstream_answer &Answer);
  bool beginAnswer(const answer_head &Head);

  forward_attempt attemptAt(const upstream_listing &Upstream) const;
  size_question sizeQuestion() const;
  std::string modelName() const;
  double pace() const;
  bool runsLeft() const;
  bool repeatable() const { return Route->repeatable(); }
  void noteGood(const upstream_listing &Upstream);
  void noteBad(const upstream_listing &Upstream, attempt_error Error);
  void refuse(refusal_reason Reason);
  void logDispatch(const placement_candidate &Target);
  void logAttemptError(const upstream_listing &Upstream, attempt_error Error);
  void logEnd(std::string_view Outcome, int Status);
  milliseconds elapsed() const;
  std::string sessionName() const;

  const forward_ports &Ports;
  forward_upstream &Upstreams;
  forward_caller &Caller;
  std::shared_ptr<const forward_call> Call;
  forward_limit Limit;
  forward_candidates Candidates;

  std::shared_ptr<const route_table> Table;
  const forward_route *Route = nullptr;
  const service_traits *Traits = nullptr;
  account_id Account;
  std::optional<unsigned> Priority;
  fingerprint Print;

  std::set<upstream_id> Tried;
  /// Sendings that reached an upstream, and those among them that may have
  /// run.
  unsigned Arrivals = 0;
  unsigned Runs = 0;
  /// Connections that were not made.
  unsigned Unreached = 0;
  bool RepeatPaid = false;
  std::size_t Size = 0;
  bool Begun = false;
  /// The version whose events the caller has.
  std::optional<version_id> BegunVersion;
  std::optional<std::uint64_t> LastEvent;
  event_splitter Splitter;
  monotonic_time SentAt;
  /// Time from the arrival to the head of the answer that counts.
  std::optional<milliseconds> FirstByte;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDRELAY_H
