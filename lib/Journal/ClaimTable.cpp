#include "bluebellkeel/Journal/ClaimTable.h"

using namespace bluebellkeel;

void claim_table::apply(const claim_entry &Entry) {
  ticket_history &History = Tickets[Entry.ticketId()];
  const std::string &Attempt = Entry.attemptId();
  switch (Entry.entryKind()) {
  case claim_entry::kind::Claim:
    if (!History.Holder && History.Released.count(Attempt) == 0)
      History.Holder = Attempt;
    return;
  case claim_entry::kind::Release:
    History.Released.insert(Attempt);
    if (History.Holder == Attempt)
      History.Holder.reset();
    return;
  case claim_entry::kind::Outcome:
    if (History.Holder == Attempt)
      History.Outcome = Entry.outcome();
    return;
  }
}

claim_verdict claim_table::verdictFor(const std::string &TicketId,
                                      const std::string &AttemptId) const {
  using kind = claim_verdict::kind;
  auto Found = Tickets.find(TicketId);
  if (Found == Tickets.end())
    return claim_verdict(kind::LogUnavailable);
  const ticket_history &History = Found->second;
  if (History.Outcome)
    return claim_verdict(kind::Finished, *History.Outcome);
  if (History.Holder == AttemptId)
    return claim_verdict(kind::Granted);
  return claim_verdict(kind::HeldElsewhere);
}
