#include "bluebellkeel/Relay/UpstreamAdmission.h"
#include <algorithm>

using namespace bluebellkeel;

const sender_group &upstream_admission::group() {
  if (!Group)
    Group = Deps.rateSharers();
  return *Group;
}

upstream_condition
upstream_admission::conditionOf(const upstream_listing &Upstream) const {
  return Deps.Notices.conditionOf(Upstream.incarnationKey());
}

shared_rate_limiter::request
upstream_admission::requestTo(const upstream_id &Upstream, double Limit,
                              senders Senders) {
  return {Upstream, Limit, group().instances(), Senders, !Light};
}

/// If the selected senders have nothing to send, only the requests of others
/// show that an upstream has lifted its limit.
static std::vector<shared_rate_limiter::senders>
sendersFor(const upstream_condition &Condition) {
  using senders = shared_rate_limiter::senders;
  if (Condition.limitConfirmed())
    return {senders::Selected};
  return {senders::Selected, senders::All};
}

bool upstream_admission::mayAdmit(const upstream_listing &Upstream) {
  upstream_condition Condition = conditionOf(Upstream);
  if (Condition.pauseLeft()) {
    Rejection = Rejection.with(no_candidate(*Condition.pauseLeft(), 0));
    return false;
  }
  const auto &Limit = Condition.rateLimit();
  if (!Limit)
    return true;
  for (senders Senders : sendersFor(Condition)) {
    if (group().complete() &&
        Deps.Limits.delay(requestTo(Upstream.id(), *Limit, Senders)) ==
            milliseconds(0))
      return true;
  }
  noteRejected(Upstream.id(), *Limit);
  return false;
}

bool upstream_admission::admit(const placement_candidate &Candidate) {
  const upstream_id &Upstream = Candidate.listing().id();
  upstream_condition Condition = conditionOf(Candidate.listing());
  const auto &Limit = Condition.rateLimit();
  if (Candidate.cold()) {
    double Rate = std::min(ColdRate, Limit.value_or(ColdRate));
    return Deps.Cold.admit({Upstream, Rate, Deps.senders()});
  }
  if (!Limit)
    return true;
  for (senders Senders : sendersFor(Condition)) {
    if (Deps.Limits.admit(requestTo(Upstream, *Limit, Senders)))
      return true;
  }
  noteRejected(Upstream, *Limit);
  return false;
}

void upstream_admission::noteRejected(const upstream_id &Upstream,
                                      double Limit) {
  auto OwnDelay =
      Deps.Limits.delay(requestTo(Upstream, Limit, senders::Selected));
  // Other instances take a request this often on average.
  std::chrono::duration<double> MeanInterval =
      std::min<std::chrono::duration<double>>(
          std::chrono::duration<double>(1 / Limit), return_schedule::MaxDelay);
  auto Instances = static_cast<double>(group().instances().size());
  Rejection = Rejection.with(no_candidate(
      OwnDelay.value_or(std::chrono::ceil<milliseconds>(MeanInterval)),
      Limit / Instances));
}
