#include "bluebellkeel/Relay/UpstreamAdmission.h"
#include <algorithm>

using namespace bluebellkeel;

using senders = shared_rate_limiter::senders;

const sender_group &upstream_admission::group() {
  if (!Group)
    Group = Deps.rateSharers();
  return *Group;
}

bool upstream_admission::admit(const placement_candidate &Candidate) {
  const upstream_listing &Upstream = Candidate.listing();
  upstream_condition Condition = Deps.Notices.conditionOf(
      upstream_incarnation(Upstream.id(), Upstream.incarnation()));
  const auto &Limit = Condition.rateLimit();
  bool Admitted = true;
  if (Candidate.cold())
    Admitted = Deps.Cold.admit(Upstream.id(),
                               std::min(ColdRate, Limit.value_or(ColdRate)),
                               Deps.senders(), senders::Selected);
  else if (Limit)
    Admitted =
        admitWithinLimit(Upstream.id(), *Limit, Condition.limitConfirmed());
  if (!Admitted && Limit)
    noteRejected(Upstream.id(), *Limit);
  return Admitted;
}

bool upstream_admission::admitWithinLimit(const upstream_id &Upstream,
                                          double Limit, bool Confirmed) {
  if (!group().complete())
    return false;
  const auto &Instances = group().instances();
  if (Deps.Limits.admit(Upstream, Limit, Instances, senders::Selected))
    return true;
  // If the selected senders have nothing to send, only the requests of others
  // show that the upstream has lifted its limit.
  return !Confirmed &&
         Deps.Limits.admit(Upstream, Limit, Instances, senders::All);
}

void upstream_admission::noteRejected(const upstream_id &Upstream,
                                      double Limit) {
  constexpr double MillisPerSecond = 1000;
  // Other instances take a request this often on average.
  milliseconds MeanInterval(static_cast<milliseconds::rep>(std::min(
      MillisPerSecond / Limit, static_cast<double>(MaxDelay.count()))));
  milliseconds Delay =
      Deps.Limits.delay(Upstream, Limit, group().instances(), senders::Selected)
          .value_or(MeanInterval);
  FreeIn = std::min(Delay, FreeIn.value_or(MaxDelay));
}
