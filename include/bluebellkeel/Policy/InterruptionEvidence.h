#ifndef BLUEBELLKEEL_POLICY_INTERRUPTIONEVIDENCE_H
#define BLUEBELLKEEL_POLICY_INTERRUPTIONEVIDENCE_H

#include "bluebellkeel/Policy/PartInterruption.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bluebellkeel {

/// Finds the part of prompts that causes crashes, from the requests that the
/// crashes interrupted. A part that crashes upstreams is in a request of each
/// of its crashes. Several upstreams that are lost at once interrupt the same
/// parts by chance, so crashes of about the same time count as one.
class interruption_evidence : public comparable<interruption_evidence> {
public:
  /// Number of different requests, runs of upstreams and moments of crashes
  /// that make a part the cause.
  static constexpr std::size_t BlockingRequests = 3;
  static constexpr std::size_t BlockingUpstreams = 3;
  static constexpr std::size_t BlockingMoments = 3;
  /// Number of runs of upstreams that make a part suspected.
  static constexpr std::size_t SuspectUpstreams = 2;
  /// Crashes within this time may have one common cause.
  static constexpr milliseconds CoincidenceTime{500};

  interruption_evidence() = default;
  explicit interruption_evidence(
      const std::vector<part_interruption> &Interruptions);

  /// Returns this evidence without the crashes of \p Upstreams, which are
  /// explained.
  interruption_evidence
  without(const std::set<upstream_incarnation> &Upstreams) const;

  /// Returns the part of the most crashes, if they suffice.
  std::optional<std::string> cause() const;
  /// True if any crash interrupted a request with \p Part.
  bool contains(const std::string &Part) const { return Parts.count(Part) > 0; }
  /// True if \p Part may be the cause of crashes.
  bool suspects(const std::string &Part) const;
  /// Returns the runs of upstreams that crashed with \p Part.
  std::set<upstream_incarnation> upstreamsOf(const std::string &Part) const;
  auto key() const { return std::tie(Parts); }

private:
  /// The requests with one part that one crash interrupted.
  struct crash : comparable<crash> {
    milliseconds Age{0};
    std::set<fingerprint> Requests;

    auto key() const { return std::tie(Age, Requests); }
  };
  /// The crashes that interrupted requests with one part.
  struct part_entry : comparable<part_entry> {
    std::map<upstream_incarnation, crash> Crashes;
    /// Highest position of the part in a prompt.
    std::uint64_t Position = 0;

    std::size_t requests() const;
    std::size_t moments() const;
    bool suffices() const;
    /// Of equally supported parts, the later one in the prompt is shared by
    /// fewer requests.
    auto rank() const {
      return std::make_tuple(Crashes.size(), requests(), Position);
    }
    auto key() const { return std::tie(Crashes, Position); }
  };

  std::map<std::string, part_entry> Parts;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_INTERRUPTIONEVIDENCE_H
