#include "bluebellkeel/Policy/PartBlame.h"
#include <algorithm>

using namespace bluebellkeel;

namespace {

/// The crashes of requests with one part.
struct part_evidence {
  std::set<fingerprint> Requests;
  std::set<upstream_incarnation> Upstreams;
  /// Highest position of the part in a prompt.
  std::size_t Position = 0;

  bool suffices() const {
    return Requests.size() >= part_blame::BlockingRequests &&
           Upstreams.size() >= part_blame::BlockingUpstreams;
  }
  /// Of equally supported parts, the later one in the prompt is shared by fewer
  /// requests.
  auto rank() const {
    return std::make_tuple(Requests.size(), Upstreams.size(), Position);
  }
};

using evidence_map = std::map<std::string, part_evidence>;

} // namespace

static evidence_map evidenceIn(const std::vector<part_crash> &Crashes) {
  evidence_map Evidence;
  for (const auto &Crash : Crashes) {
    std::size_t Position = 0;
    for (const auto &Part : Crash.parts()) {
      part_evidence &Entry = Evidence[Part];
      Entry.Requests.insert(Crash.request());
      Entry.Upstreams.insert(Crash.upstream());
      Entry.Position = std::max(Entry.Position, Position++);
    }
  }
  return Evidence;
}

/// Returns the best supported part, if its evidence suffices.
static std::optional<std::string> partToBlock(const evidence_map &Evidence) {
  auto Best = std::max_element(Evidence.begin(), Evidence.end(),
                               [](const auto &L, const auto &R) {
                                 return L.second.rank() < R.second.rank();
                               });
  if (Best == Evidence.end() || !Best->second.suffices())
    return std::nullopt;
  return Best->first;
}

static void removeExplained(std::vector<part_crash> &Crashes,
                            const std::string &Part) {
  auto Explained = [&Part](const part_crash &Crash) {
    return std::count(Crash.parts().begin(), Crash.parts().end(), Part) > 0;
  };
  Crashes.erase(std::remove_if(Crashes.begin(), Crashes.end(), Explained),
                Crashes.end());
}

part_blame::part_blame(const std::vector<part_crash> &Crashes,
                       const std::vector<part_interruption> &Interruptions)
    : Interrupted(Interruptions) {
  for (const auto &Crash : Crashes) {
    if (Crash.parts().empty())
      continue;
    Mentioned.insert(Crash.parts().begin(), Crash.parts().end());
    UpstreamsOfRequest[Crash.request()].insert(Crash.upstream());
  }
  blockCrashingParts(Crashes);
  blockInterruptedParts(Crashes);
}

void part_blame::blockCrashingParts(const std::vector<part_crash> &Crashes) {
  std::vector<part_crash> Unexplained = Crashes;
  evidence_map Evidence = evidenceIn(Unexplained);
  while (auto Part = partToBlock(Evidence)) {
    Blocked.insert(*Part);
    removeExplained(Unexplained, *Part);
    Evidence = evidenceIn(Unexplained);
  }
  for (const auto &[Part, Entry] : Evidence)
    RequestsOfPart.emplace(Part, Entry.Requests);
}

void part_blame::blockInterruptedParts(const std::vector<part_crash> &Crashes) {
  std::set<upstream_incarnation> Explained;
  for (const auto &Crash : Crashes) {
    if (std::any_of(
            Crash.parts().begin(), Crash.parts().end(),
            [this](const auto &Part) { return Blocked.count(Part) > 0; }))
      Explained.insert(Crash.upstream());
  }
  Unexplained = Interrupted.without(Explained);
  for (const auto &Part : Blocked)
    Unexplained = Unexplained.without(Interrupted.upstreamsOf(Part));
  while (auto Part = Unexplained.cause()) {
    Blocked.insert(*Part);
    Unexplained = Unexplained.without(Interrupted.upstreamsOf(*Part));
  }
}

bool part_blame::suspects(const prompt &Prompt) const {
  if (maxRequestsOf(Prompt) >= SuspectRequests)
    return true;
  for (const auto &Part : Prompt.sharedPartIds()) {
    if (Unexplained.suspects(Part))
      return true;
  }
  return false;
}

std::optional<std::string> part_blame::blockedPart(const prompt &Prompt) const {
  if (Blocked.empty())
    return std::nullopt;
  for (const auto &Part : Prompt.sharedPartIds()) {
    if (Blocked.count(Part) > 0)
      return Part;
  }
  return std::nullopt;
}

bool part_blame::blocksRequest(const fingerprint &Request) const {
  auto Found = UpstreamsOfRequest.find(Request);
  return Found != UpstreamsOfRequest.end() &&
         Found->second.size() >= UpstreamsOfOneRequest;
}

std::size_t part_blame::maxRequestsOf(const prompt &Prompt) const {
  std::size_t Most = 0;
  if (RequestsOfPart.empty())
    return Most;
  for (const auto &Part : Prompt.sharedPartIds()) {
    auto Found = RequestsOfPart.find(Part);
    if (Found != RequestsOfPart.end())
      Most = std::max(Most, Found->second.size());
  }
  return Most;
}
