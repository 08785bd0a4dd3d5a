#ifndef BLUEBELLKEEL_JOURNAL_CLAIMTABLE_H
#define BLUEBELLKEEL_JOURNAL_CLAIMTABLE_H

#include "bluebellkeel/Journal/ClaimEntry.h"
#include "bluebellkeel/Journal/ClaimVerdict.h"
#include <map>
#include <optional>
#include <set>
#include <string>

namespace bluebellkeel {

/// A fold over a stretch of the claims stream. The first claim of a ticket
/// holds it until its own attempt releases it; a released attempt never holds
/// again, so a copy of its claim that arrives late does nothing.
class claim_table {
public:
  void apply(const claim_entry &Entry);

  /// What the entries so far say to the attempt \p AttemptId.
  claim_verdict verdictFor(const std::string &TicketId,
                           const std::string &AttemptId) const;

private:
  struct ticket_history {
    std::optional<std::string> Holder;
    std::optional<recorded_outcome> Outcome;
    std::set<std::string> Released;
  };

  std::map<std::string, ticket_history> Tickets;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_CLAIMTABLE_H
