#ifndef BLUEBELLKEEL_JOURNAL_CLAIMTABLE_H
#define BLUEBELLKEEL_JOURNAL_CLAIMTABLE_H

#include "bluebellkeel/Journal/ClaimEntry.h"
#include "bluebellkeel/Journal/ClaimVerdict.h"
#include <map>
#include <optional>
#include <set>
#include <string>

namespace bluebellkeel {

/// The state of tickets, built from a range of the claims stream. The first
/// claim of a ticket holds it until the same attempt releases it. A released
/// attempt never holds the ticket again, so a late duplicate of its claim has
/// no effect.
class claim_table {
public:
  void apply(const claim_entry &Entry);

  /// Returns the verdict on \p AttemptId according to the entries applied so
  /// far.
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
