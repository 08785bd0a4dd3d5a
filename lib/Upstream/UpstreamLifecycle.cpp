#include "bluebellkeel/Upstream/UpstreamLifecycle.h"
#include <boost/mpl/vector/vector30.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

using namespace bluebellkeel;

namespace msm = boost::msm;

namespace {

struct cold_report {};
struct warm_report {};
struct full_load {};
struct report_failure {};
struct leaving_listed {};
struct not_listed {};

struct unknown_state : msm::front::state<> {};
struct cold_state : msm::front::state<> {};
struct warming_state : msm::front::state<> {};
struct ready_state : msm::front::state<> {};
struct suspect_state : msm::front::state<> {};
struct draining_state : msm::front::state<> {};
struct gone_state : msm::front::state<> {};

template <typename source_t, typename event_t, typename target_t>
using transition = msm::front::Row<source_t, event_t, target_t,
                                   msm::front::none, msm::front::none>;

struct lifecycle_def : msm::front::state_machine_def<lifecycle_def> {
  using initial_state = unknown_state;

  struct transition_table
      : boost::mpl::vector23<
            transition<unknown_state, cold_report, cold_state>,
            transition<unknown_state, warm_report, warming_state>,
            transition<unknown_state, report_failure, suspect_state>,
            transition<cold_state, warm_report, warming_state>,
            transition<cold_state, report_failure, suspect_state>,
            transition<warming_state, cold_report, cold_state>,
            transition<warming_state, full_load, ready_state>,
            transition<warming_state, report_failure, suspect_state>,
            transition<ready_state, cold_report, cold_state>,
            transition<ready_state, report_failure, suspect_state>,
            transition<suspect_state, cold_report, cold_state>,
            transition<suspect_state, warm_report, warming_state>,
            transition<unknown_state, leaving_listed, draining_state>,
            transition<cold_state, leaving_listed, draining_state>,
            transition<warming_state, leaving_listed, draining_state>,
            transition<ready_state, leaving_listed, draining_state>,
            transition<suspect_state, leaving_listed, draining_state>,
            transition<unknown_state, not_listed, gone_state>,
            transition<cold_state, not_listed, gone_state>,
            transition<warming_state, not_listed, gone_state>,
            transition<ready_state, not_listed, gone_state>,
            transition<suspect_state, not_listed, gone_state>,
            transition<draining_state, not_listed, gone_state>> {};

  /// Ignores an event without a transition, such as a warm report in Ready.
  template <typename fsm_t, typename event_t>
  void no_transition(const event_t &, fsm_t &, int) {}
};

} // namespace

class upstream_lifecycle::machine
    : public msm::back::state_machine<lifecycle_def> {};

upstream_lifecycle::upstream_lifecycle()
    : Machine(std::make_unique<machine>()) {
  Machine->start();
}

upstream_lifecycle::~upstream_lifecycle() = default;
upstream_lifecycle::upstream_lifecycle(upstream_lifecycle &&) noexcept =
    default;
upstream_lifecycle &
upstream_lifecycle::operator=(upstream_lifecycle &&) noexcept = default;

upstream_phase upstream_lifecycle::phase() const {
  // State numbers follow the order in which the table first names each state as
  // a source.
  static constexpr upstream_phase Phases[] = {
      upstream_phase::Unknown, upstream_phase::Cold,
      upstream_phase::Warming, upstream_phase::Ready,
      upstream_phase::Suspect, upstream_phase::Draining,
      upstream_phase::Gone};
  return Phases[Machine->current_state()[0]];
}

void upstream_lifecycle::reportedCold() {
  Machine->process_event(cold_report());
}

void upstream_lifecycle::reportedWarm() {
  Machine->process_event(warm_report());
}

void upstream_lifecycle::reachedFullLoad() {
  Machine->process_event(full_load());
}

void upstream_lifecycle::reportsFailed() {
  Machine->process_event(report_failure());
}

void upstream_lifecycle::listedLeaving() {
  Machine->process_event(leaving_listed());
}

void upstream_lifecycle::unlisted() { Machine->process_event(not_listed()); }
