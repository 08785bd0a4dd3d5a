#ifndef BLUEBELLKEEL_RELAY_CHATRELAY_H
#define BLUEBELLKEEL_RELAY_CHATRELAY_H

#include "bluebellkeel/Relay/ChatOutcome.h"
#include "bluebellkeel/Relay/ChatRequest.h"
#include "bluebellkeel/Relay/DeferredFinalSink.h"
#include "bluebellkeel/Relay/Refusal.h"
#include "bluebellkeel/Relay/RelayDependencies.h"
#include "bluebellkeel/Relay/ResponseSink.h"
#include <functional>
#include <set>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Processes one chat completion, from version planning to billing. A
/// completion may run more than once, so it is retried as long as the caller
/// has received none of it.
class chat_relay {
public:
  /// Maximum number of attempts for one request, over all versions.
  static constexpr unsigned MaxAttempts = 4;

  /// Called before each dispatch, so that the caller learns the version before
  /// the first chunk of the response.
  using version_callback = std::function<void(const plan_step &)>;

  explicit chat_relay(relay_dependencies &Deps) : Deps(Deps) {}

  tl::expected<chat_outcome, refusal> relay(const chat_request &Request,
                                            response_sink &Sink,
                                            const version_callback &OnVersion);

private:
  using attempt_result = tl::expected<token_usage, attempt_error>;

  tl::expected<version_plan, refusal> planFor(const chat_request &Request);
  std::optional<refusal> checkStart(const chat_request &Request);
  tl::expected<chat_outcome, refusal> tryStep(const chat_request &Request,
                                              const plan_step &Step,
                                              deferred_final_sink &Sink,
                                              const version_callback &OnVersion,
                                              bool LastStep);
  tl::expected<upstream_slot, refusal> takeSlot(const chat_request &Request,
                                                const plan_step &Step);
  std::optional<refusal> recheck(const chat_request &Request,
                                 const plan_step &Step) const;
  attempt_result dispatch(const chat_request &Request, const plan_step &Step,
                          const upstream_id &Upstream,
                          deferred_final_sink &Sink);
  void noteResult(const chat_request &Request, const upstream_id &Upstream,
                  const attempt_result &Result);
  std::optional<refusal> afterFailure(const chat_request &Request,
                                      attempt_error Error,
                                      const deferred_final_sink &Sink,
                                      bool LastStep);
  std::optional<refusal> commitBill(const chat_request &Request,
                                    const plan_step &Step,
                                    const token_usage &Summary,
                                    deferred_final_sink &Sink);

  relay_dependencies &Deps;
  unsigned Attempts = 0;
  std::set<upstream_id> Tried;
  /// Start of the latest attempt.
  monotonic_time SentAt;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_CHATRELAY_H
