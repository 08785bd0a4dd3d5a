#include "bluebellkeel/Scale/WorkFollowingCount.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

using count_map = std::map<data_centre_id, std::uint32_t>;

static std::uint32_t neededFor(const work_total &Work, std::uint32_t Slots) {
  double BySlots =
      (Work.running() + Work.waiting()) /
      (std::max(1U, Slots) * work_following_count::TargetOccupancy);
  double ByPrefill = Work.prefill() / work_following_count::TargetPrefill;
  return static_cast<std::uint32_t>(std::ceil(std::max(BySlots, ByPrefill)));
}

/// Returns the share of each open data centre: half of it even, half of it
/// where requests come in.
static std::map<data_centre_id, double> sharesOf(const scale_observation &Now) {
  constexpr double EvenPart = 0.5;
  std::map<data_centre_id, double> Shares;
  double Running = 0;
  const auto &ByCentre = Now.work().running();
  for (const auto &Centre : Now.centres()) {
    if (Centre.closed())
      continue;
    auto Found = ByCentre.find(Centre.centre());
    Shares[Centre.centre()] = Found == ByCentre.end() ? 0 : Found->second;
    Running += Shares[Centre.centre()];
  }
  for (auto &[Centre, Share] : Shares) {
    double Even = 1 / static_cast<double>(Shares.size());
    double Local = Running > 0 ? Share / Running : Even;
    Share = EvenPart * Even + (1 - EvenPart) * Local;
  }
  return Shares;
}

/// Splits \p Total within the limits; what one data centre may not have goes to
/// those that may have more.
static count_map split(std::uint32_t Total, const scale_observation &Now) {
  count_map Counts;
  std::uint32_t Sum = 0;
  for (const auto &[Centre, Share] : sharesOf(Now)) {
    auto Wanted = static_cast<std::uint32_t>(std::ceil(Share * Total));
    Counts[Centre] = std::clamp(Wanted, Now.limits().min(), Now.limits().max());
    Sum += Counts[Centre];
  }
  bool Changed = true;
  while (Sum < Total && Changed) {
    Changed = false;
    for (auto &[Centre, Count] : Counts) {
      if (Sum >= Total || Count >= Now.limits().max())
        continue;
      ++Count;
      ++Sum;
      Changed = true;
    }
  }
  return Counts;
}

/// Returns how many of the needed upstreams are missing although they were
/// ordered longer ago than their boot time.
static std::uint32_t lostOf(std::uint32_t Needed, const scale_query &Query) {
  std::uint32_t Present = 0;
  std::uint32_t Ordered = 0;
  for (const auto &Centre : Query.now().centres()) {
    if (Centre.closed())
      continue;
    Present += Centre.present();
    auto Last = Query.lastOrders().find(Centre.centre());
    if (Last == Query.lastOrders().end() ||
        Last->second.age() < Query.now().limits().bootTime())
      return 0;
    Ordered += Last->second.count();
  }
  return Ordered >= Needed && Present < Needed ? Needed - Present : 0;
}

/// Returns the number that the data centre has, or will have.
static std::uint32_t expectedAt(const centre_upstreams &Centre,
                                const scale_query &Query) {
  auto Last = Query.lastOrders().find(Centre.centre());
  return Last == Query.lastOrders().end() ? Centre.present()
                                          : Last->second.count();
}

std::vector<scale_order>
work_following_count::decide(const scale_query &Query) const {
  const scale_observation &Now = Query.now();
  std::vector<scale_order> Orders;
  if (!Now.workIsKnown())
    return Orders;
  std::uint32_t Needed = neededFor(Query.peak(), Now.slots());
  std::uint32_t Lost = lostOf(Needed, Query);
  count_map More = split(Needed + Lost, Now);
  count_map Fewer =
      split(neededFor(Query.peak().times(DownMargin), Now.slots()) + Lost, Now);
  for (const auto &Centre : Now.centres()) {
    if (Centre.closed())
      continue;
    std::uint32_t Expected = expectedAt(Centre, Query);
    if (More[Centre.centre()] > Expected) {
      Orders.emplace_back(Now.service(), Centre.centre(), More[Centre.centre()],
                          Lost > 0 ? scale_reason::Lost
                                   : scale_reason::MoreWork);
      continue;
    }
    bool Down = Query.peakIsComplete() && Fewer[Centre.centre()] < Expected;
    std::uint32_t Count = Down ? Fewer[Centre.centre()] : Expected;
    Orders.emplace_back(Now.service(), Centre.centre(), Count,
                        scale_reason::LessWork);
  }
  return Orders;
}
