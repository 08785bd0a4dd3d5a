#include "bluebellkeel/Scale/ScalePlanner.h"
#include <algorithm>

using namespace bluebellkeel;

static milliseconds between(monotonic_time From, monotonic_time To) {
  return std::chrono::duration_cast<milliseconds>(To - From);
}

void scale_planner::observe() {
  monotonic_time Now = Clock.monotonicNow();
  if (Now - ObservedAt < DecisionInterval)
    return;
  ObservedAt = Now;
  Observed = Input.observe();
  for (const auto &Observation : Observed) {
    if (Observation.workIsKnown())
      Histories[Observation.service()].note(Now, Observation.work().total());
  }
}

void scale_planner::decide() {
  monotonic_time Now = Clock.monotonicNow();
  if (Now - DecidedAt < DecisionInterval)
    return;
  DecidedAt = Now;
  Due.clear();
  for (const auto &Observation : Observed)
    decideFor(Observation);
}

scale_query::order_map
scale_planner::lastOrders(const service_id &Service) const {
  scale_query::order_map Orders;
  for (const auto &[Subject, State] : Sent) {
    if (Subject.first == Service)
      Orders.emplace(
          Subject.second,
          sent_order(State.Count, between(State.At, Clock.monotonicNow())));
  }
  return Orders;
}

void scale_planner::decideFor(const scale_observation &Now) {
  const work_history &History = Histories[Now.service()];
  scale_query Query(Now, History.peak(), History.complete(),
                    lastOrders(Now.service()));
  for (const auto &Order : Policy.decide(Query)) {
    if (isDue(Order, Now))
      Due.push_back(Order);
  }
  for (const auto &Order : Due) {
    if (Order.service() == Now.service())
      logDecision(Order, Query);
  }
}

bool scale_planner::isDue(const scale_order &Order,
                          const scale_observation &Now) const {
  auto Centre = std::find_if(
      Now.centres().begin(), Now.centres().end(),
      [&](const auto &Other) { return Other.centre() == Order.centre(); });
  bool Matches =
      Centre != Now.centres().end() && Centre->present() == Order.count();
  auto Found = Sent.find({Order.service(), Order.centre()});
  if (Found == Sent.end())
    return !Matches;
  const order_state &Last = Found->second;
  milliseconds Age = between(Last.At, Clock.monotonicNow());
  if (Order.count() > Last.Count)
    return true;
  if (Order.count() < Last.Count)
    return Age >= Now.limits().bootTime() + DownDelay;
  if (Last.InDoubtSince &&
      between(*Last.InDoubtSince, Clock.monotonicNow()) < DoubtTime)
    return Age >= DoubtInterval;
  return !Matches && Age >= Now.limits().bootTime() + MatchMargin;
}

void scale_planner::noteSent(const scale_order &Order, bool InDoubt) {
  monotonic_time Now = Clock.monotonicNow();
  order_state &State = Sent[{Order.service(), Order.centre()}];
  State.Count = Order.count();
  State.At = Now;
  if (InDoubt)
    State.InDoubtSince = Now;
  Due.erase(std::remove(Due.begin(), Due.end(), Order), Due.end());
}

void scale_planner::logDecision(const scale_order &Order,
                                const scale_query &Query) const {
  const scale_observation &Now = Query.now();
  event_line Line("scale", "order_due");
  Line.add("service", Order.service().text())
      .add("centre", Order.centre().text())
      .add("count", static_cast<std::int64_t>(Order.count()))
      .add("why", toString(Order.reason()))
      .add("running", static_cast<std::int64_t>(Now.work().total().running()))
      .add("peak_running", static_cast<std::int64_t>(Query.peak().running()))
      .add("waiting", static_cast<std::int64_t>(Query.peak().waiting()))
      .add("peak_prefill", static_cast<std::int64_t>(Query.peak().prefill()))
      .add("sources", static_cast<std::int64_t>(Now.work().sources()))
      .add("age_ms", Now.work().age().count());
  for (const auto &Centre : Now.centres()) {
    if (Centre.centre() == Order.centre())
      Line.add("present", static_cast<std::int64_t>(Centre.present()))
          .add("cold", static_cast<std::int64_t>(Centre.cold()));
  }
  Log.write(Line);
}
