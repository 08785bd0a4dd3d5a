#ifndef BLUEBELLKEEL_POLICY_PARTBLAME_H
#define BLUEBELLKEEL_POLICY_PARTBLAME_H

#include "bluebellkeel/Policy/InterruptionEvidence.h"
#include "bluebellkeel/Policy/PartCrash.h"
#include "bluebellkeel/Policy/Prompt.h"
#include <map>
#include <optional>
#include <set>

namespace bluebellkeel {

/// The parts of prompts that explain a list of crashes. A part is blocked if
/// enough different requests with it crashed enough different upstreams; the
/// crashes that it explains then speak against no other part. A crash of an
/// upstream that had begun a request and had produced nothing of its answer
/// weighs more than one that interrupted the request at another time.
class part_blame : public comparable<part_blame> {
public:
  /// Number of different requests, and of different runs of upstreams, whose
  /// crashes block a part. Fewer may be a coincidence when several upstreams
  /// are lost at once.
  static constexpr std::size_t BlockingRequests = 3;
  static constexpr std::size_t BlockingUpstreams = 3;
  /// Number of different requests whose crashes make a part suspected, and from
  /// which a request with it is not repeated.
  static constexpr std::size_t SuspectRequests = 1;
  static constexpr std::size_t RepeatBlockingRequests = 2;
  /// Number of different runs of upstreams whose crashes block a single
  /// request.
  static constexpr std::size_t UpstreamsOfOneRequest = 2;

  part_blame() = default;
  /// \param Crashes without the parts that are known to be sound; a crash
  /// without parts counts against nothing.
  /// \param Interruptions by the same crashes and by others, without the parts
  /// that are known to be sound.
  explicit part_blame(const std::vector<part_crash> &Crashes,
                      const std::vector<part_interruption> &Interruptions = {});

  /// Returns the blocked part of \p Prompt; empty if it has none.
  std::optional<std::string> blockedPart(const prompt &Prompt) const;
  /// True if \p Request itself is blocked.
  bool blocksRequest(const fingerprint &Request) const;
  /// True if a part of \p Prompt may be the cause of a crash.
  bool suspects(const prompt &Prompt) const;
  /// True if a request with \p Prompt should not be sent again after it ran.
  bool blocksRepeat(const prompt &Prompt) const {
    return maxRequestsOf(Prompt) >= RepeatBlockingRequests;
  }
  /// True if the part was in a request of any crash.
  bool mentions(const std::string &Part) const {
    return Mentioned.count(Part) > 0;
  }
  /// True if a crash interrupted a request with the part.
  bool interrupted(const std::string &Part) const {
    return Interrupted.contains(Part);
  }
  const std::set<std::string> &blockedParts() const { return Blocked; }
  auto key() const {
    return std::tie(Mentioned, Blocked, RequestsOfPart, UpstreamsOfRequest,
                    Interrupted, Unexplained);
  }

private:
  /// Blocks the parts that explain \p Crashes.
  void blockCrashingParts(const std::vector<part_crash> &Crashes);
  /// Blocks the parts that explain the interruptions by crashes which no
  /// blocked part explains.
  void blockInterruptedParts(const std::vector<part_crash> &Crashes);
  /// Returns the number of requests of the part of \p Prompt that has most.
  std::size_t maxRequestsOf(const prompt &Prompt) const;

  std::set<std::string> Mentioned;
  std::set<std::string> Blocked;
  /// For each part, the requests of the crashes that no blocked part explains.
  std::map<std::string, std::set<fingerprint>> RequestsOfPart;
  std::map<fingerprint, std::set<upstream_incarnation>> UpstreamsOfRequest;
  /// All interruptions, and those that no blocked part explains.
  interruption_evidence Interrupted;
  interruption_evidence Unexplained;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PARTBLAME_H
