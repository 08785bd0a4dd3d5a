#ifndef BLUEBELLKEEL_RELAY_CHATRELAY_H
#define BLUEBELLKEEL_RELAY_CHATRELAY_H

#include "bluebellkeel/Relay/AnswerSink.h"
#include "bluebellkeel/Relay/ChatOutcome.h"
#include "bluebellkeel/Relay/ChatRequest.h"
#include "bluebellkeel/Relay/HoldbackSink.h"
#include "bluebellkeel/Relay/Refusal.h"
#include "bluebellkeel/Relay/RelayPorts.h"
#include <functional>
#include <set>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Takes one chat completion from plan to bill. A completion may be repeated,
/// so it is tried again as long as the caller has seen nothing of it.
class chat_relay {
public:
  /// Most attempts for one request, over all versions.
  static constexpr unsigned MaxAttempts = 4;

  /// Called before each dispatch, so that the caller learns the version ahead
  /// of the first piece of its answer.
  using version_notice = std::function<void(const plan_step &)>;

  explicit chat_relay(relay_ports &Ports) : Ports(Ports) {}

  tl::expected<chat_outcome, refusal> relay(const chat_request &Request,
                                            answer_sink &Sink,
                                            const version_notice &Notice);

private:
  using attempt_result = tl::expected<answer_summary, attempt_error>;

  tl::expected<version_plan, refusal> planFor(const chat_request &Request);
  std::optional<refusal> checkStart(const chat_request &Request);
  tl::expected<chat_outcome, refusal>
  tryStep(const chat_request &Request, const plan_step &Step,
          holdback_sink &Sink, const version_notice &Notice, bool LastStep);
  tl::expected<upstream_slot, refusal> takeSlot(const chat_request &Request,
                                                const plan_step &Step);
  std::optional<refusal> recheck(const chat_request &Request,
                                 const plan_step &Step) const;
  attempt_result dispatch(const chat_request &Request, const plan_step &Step,
                          const upstream_id &Upstream, holdback_sink &Sink);
  void noteResult(const chat_request &Request, const upstream_id &Upstream,
                  const attempt_result &Result);
  std::optional<refusal> afterFailure(const chat_request &Request,
                                      attempt_error Error,
                                      const holdback_sink &Sink, bool LastStep);
  std::optional<refusal> settle(const chat_request &Request,
                                const plan_step &Step,
                                const answer_summary &Summary,
                                holdback_sink &Sink);

  relay_ports &Ports;
  unsigned Attempts = 0;
  std::set<upstream_id> Tried;
  /// When the latest attempt began.
  monotonic_time SentAt;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_CHATRELAY_H
