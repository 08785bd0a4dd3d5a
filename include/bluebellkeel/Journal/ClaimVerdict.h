#ifndef BLUEBELLKEEL_JOURNAL_CLAIMVERDICT_H
#define BLUEBELLKEEL_JOURNAL_CLAIMVERDICT_H

#include "bluebellkeel/Journal/RecordedOutcome.h"
#include <tuple>

namespace bluebellkeel {

/// Whether an attempt may run its ticket.
class claim_verdict : public comparable<claim_verdict> {
public:
  enum class kind {
    /// This attempt, and no other, may run the ticket.
    Granted,
    /// Another attempt holds the ticket; whether it ran is unknown to this
    /// instance.
    HeldElsewhere,
    /// The ticket has run; the verdict contains the recorded response.
    Finished,
    /// The claim could not be appended or read back in time.
    LogUnavailable,
    /// Retention has dropped records that could contain an older claim.
    Trimmed,
    /// The queue of waiting claims is full.
    QueueFull,
  };

  explicit claim_verdict(kind Kind, recorded_outcome Outcome = {})
      : Kind(Kind), Outcome(std::move(Outcome)) {}

  kind result() const { return Kind; }
  const recorded_outcome &outcome() const { return Outcome; }
  auto key() const { return std::tie(Kind, Outcome); }

private:
  kind Kind;
  recorded_outcome Outcome;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_CLAIMVERDICT_H
