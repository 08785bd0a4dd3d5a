#ifndef BLUEBELLKEEL_JOURNAL_FOLLOWTIMING_H
#define BLUEBELLKEEL_JOURNAL_FOLLOWTIMING_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <algorithm>
#include <tuple>

namespace bluebellkeel {

/// Timing of the reads that follow a topic, derived from the time within which
/// an acknowledged change must take effect.
class follow_timing : public comparable<follow_timing> {
public:
  explicit follow_timing(milliseconds ApplyTime) : ApplyTime(ApplyTime) {}

  milliseconds applyTime() const { return ApplyTime; }
  /// Longest time that a read waits for new records. The log may drop a waiting
  /// read without closing its connection, so only a response shows that there
  /// are no newer records. A dropped read has to be detected and repeated
  /// within the apply time.
  milliseconds longPoll() const {
    constexpr int LongPollDivisor = 3;
    return std::clamp(ApplyTime / LongPollDivisor, MinLongPoll, MaxLongPoll);
  }
  /// Maximum age of data from peers on which an instance relies instead of
  /// reading the log, if it exchanges data with all peers.
  milliseconds maxPeerDataAge() const { return ApplyTime / 2; }
  /// The same where data takes several exchanges to arrive. The rest of the
  /// apply time is left for a read of the log.
  milliseconds maxRelayedDataAge() const {
    return std::min(ApplyTime * 3 / 4, MaxRelayedDataAge);
  }
  auto key() const { return std::tie(ApplyTime); }

private:
  static constexpr milliseconds MinLongPoll{200};
  static constexpr milliseconds MaxLongPoll{5000};
  static constexpr milliseconds MaxRelayedDataAge{5000};

  milliseconds ApplyTime;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_FOLLOWTIMING_H
