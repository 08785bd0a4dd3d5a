#include "bluebellkeel/Policy/RollOutStatusPublisher.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>

using namespace bluebellkeel;

std::size_t roll_out_status_publisher::rankOf(
    const service_id &Service,
    const std::vector<instance_id> &Instances) const {
  std::uint64_t Own = rendezvousWeight(Service.text(), Self.text());
  auto Before = [&](const instance_id &Instance) {
    return rendezvousWeight(Service.text(), Instance.text()) > Own;
  };
  return static_cast<std::size_t>(
      std::count_if(Instances.begin(), Instances.end(), Before));
}

bool roll_out_status_publisher::due(const roll_out_status &Status,
                                    const std::vector<instance_id> &Instances) {
  monotonic_time Now = Clock.monotonicNow();
  auto [Found, New] = FirstSeenAt.emplace(Status, Now);
  auto Rank = static_cast<long>(rankOf(Status.service(), Instances));
  return Now - Found->second >= Rank * TakeoverDelay;
}

/// A status that a restored log loses is due anew, so that again one instance
/// after another takes over.
void roll_out_status_publisher::forgetPublished(
    const std::vector<roll_out_status> &Unpublished) {
  for (auto It = FirstSeenAt.begin(); It != FirstSeenAt.end();) {
    bool Known = std::find(Unpublished.begin(), Unpublished.end(), It->first) !=
                 Unpublished.end();
    It = Known ? std::next(It) : FirstSeenAt.erase(It);
  }
}

/// True if the log already contains this stage of the roll-out or a later one.
static bool isPublished(const roll_out_status_page &Page,
                        const roll_out_status &Status) {
  return std::any_of(Page.statuses().begin(), Page.statuses().end(),
                     [&](const roll_out_status &Known) {
                       return Known.service() == Status.service() &&
                              Known.target() == Status.target() &&
                              Known.stage() >= Status.stage();
                     });
}

std::vector<roll_out_status>
roll_out_status_publisher::run(const std::vector<instance_id> &Instances) {
  std::vector<roll_out_status> Written;
  auto Unpublished = Tracker.unpublished();
  forgetPublished(Unpublished);
  for (const auto &Status : Unpublished) {
    if (!due(Status, Instances))
      continue;
    auto Page = Log.readStatuses();
    if (!Page)
      continue;
    for (const auto &Known : Page->statuses())
      Tracker.noteStatus(Known, Page->end().era());
    if (isPublished(*Page, Status) || !Log.append(Status, Page->end()))
      continue;
    Tracker.noteStatus(Status, Page->end().era());
    Written.push_back(Status);
  }
  return Written;
}
