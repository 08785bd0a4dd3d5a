#include "bluebellkeel/Policy/InterruptionEvidence.h"
#include <algorithm>

using namespace bluebellkeel;

interruption_evidence::interruption_evidence(
    const std::vector<part_interruption> &Interruptions) {
  for (const auto &Interruption : Interruptions) {
    part_entry &Entry = Parts[Interruption.part()];
    crash &Crash = Entry.Crashes[Interruption.upstream()];
    Crash.Age = std::max(Crash.Age, Interruption.age());
    Crash.Requests.insert(Interruption.request());
    Entry.Position = std::max(Entry.Position, Interruption.position());
  }
}

interruption_evidence interruption_evidence::without(
    const std::set<upstream_incarnation> &Upstreams) const {
  interruption_evidence Rest;
  for (const auto &[Part, Entry] : Parts) {
    part_entry Unexplained = Entry;
    for (const auto &Upstream : Upstreams)
      Unexplained.Crashes.erase(Upstream);
    if (!Unexplained.Crashes.empty())
      Rest.Parts.emplace(Part, std::move(Unexplained));
  }
  return Rest;
}

std::size_t interruption_evidence::part_entry::requests() const {
  std::set<fingerprint> Requests;
  for (const auto &[Upstream, Crash] : Crashes)
    Requests.insert(Crash.Requests.begin(), Crash.Requests.end());
  return Requests.size();
}

/// Returns the number of crashes that are at least CoincidenceTime apart.
std::size_t interruption_evidence::part_entry::moments() const {
  std::vector<milliseconds> Ages;
  Ages.reserve(Crashes.size());
  for (const auto &[Upstream, Crash] : Crashes)
    Ages.push_back(Crash.Age);
  std::sort(Ages.begin(), Ages.end());
  std::size_t Count = 0;
  milliseconds MomentAge{0};
  for (milliseconds Age : Ages) {
    if (Count > 0 && Age - MomentAge < CoincidenceTime)
      continue;
    ++Count;
    MomentAge = Age;
  }
  return Count;
}

bool interruption_evidence::part_entry::suffices() const {
  return Crashes.size() >= BlockingUpstreams &&
         requests() >= BlockingRequests && moments() >= BlockingMoments;
}

std::optional<std::string> interruption_evidence::cause() const {
  const std::string *Best = nullptr;
  const part_entry *BestEntry = nullptr;
  for (const auto &[Part, Entry] : Parts) {
    if (!Entry.suffices() || (Best && Entry.rank() <= BestEntry->rank()))
      continue;
    Best = &Part;
    BestEntry = &Entry;
  }
  return Best ? std::optional(*Best) : std::nullopt;
}

bool interruption_evidence::suspects(const std::string &Part) const {
  auto Found = Parts.find(Part);
  return Found != Parts.end() &&
         Found->second.Crashes.size() >= SuspectUpstreams;
}

std::set<upstream_incarnation>
interruption_evidence::upstreamsOf(const std::string &Part) const {
  std::set<upstream_incarnation> Upstreams;
  auto Found = Parts.find(Part);
  if (Found == Parts.end())
    return Upstreams;
  for (const auto &[Upstream, Crash] : Found->second.Crashes)
    Upstreams.insert(Upstream);
  return Upstreams;
}
