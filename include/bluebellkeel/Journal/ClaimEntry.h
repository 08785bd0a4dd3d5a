#ifndef BLUEBELLKEEL_JOURNAL_CLAIMENTRY_H
#define BLUEBELLKEEL_JOURNAL_CLAIMENTRY_H

#include "bluebellkeel/Journal/RecordedOutcome.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// One entry of the claims stream. The order of the entries of a ticket decides
/// which attempt may run it.
class claim_entry : public comparable<claim_entry> {
public:
  enum class kind {
    /// The attempt requests to run the ticket.
    Claim,
    /// The attempt was never dispatched and never will be.
    Release,
    /// The attempt ran; the entry contains its response.
    Outcome,
  };

  claim_entry() = default;
  claim_entry(kind Kind, std::string TicketId, std::string AttemptId,
              recorded_outcome Outcome = {})
      : Kind(Kind), TicketId(std::move(TicketId)),
        AttemptId(std::move(AttemptId)), Outcome(std::move(Outcome)) {}

  kind entryKind() const { return Kind; }
  const std::string &ticketId() const { return TicketId; }
  const std::string &attemptId() const { return AttemptId; }
  const recorded_outcome &outcome() const { return Outcome; }
  auto key() const { return std::tie(Kind, TicketId, AttemptId, Outcome); }

private:
  kind Kind = kind::Claim;
  std::string TicketId;
  std::string AttemptId;
  recorded_outcome Outcome;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_CLAIMENTRY_H
