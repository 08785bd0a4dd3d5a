#ifndef BLUEBELLKEEL_JOURNAL_TICKETISSUER_H
#define BLUEBELLKEEL_JOURNAL_TICKETISSUER_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Core/Signer.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/Ticket.h"
#include <optional>
#include <string>

namespace bluebellkeel {

/// Issues tickets and reads back those that callers bring. Any instance reads
/// the tickets of all, since they share the signing key.
class ticket_issuer {
public:
  ticket_issuer(const time_source &Clock, random_source &Random,
                const signer &Signer, seconds Lifetime)
      : Clock(Clock), Random(Random), Signer(Signer), Lifetime(Lifetime) {}

  /// A new ticket of \p Account; \p IssueOffset is the newest offset of the
  /// claims stream that this instance knows.
  ticket issue(const account_id &Account, log_offset IssueOffset);

  std::string encode(const ticket &Ticket) const;
  /// The ticket in \p Text; empty when it was forged, altered or cut.
  std::optional<ticket> decode(const std::string &Text) const;

  /// True once the ticket may no longer run. The log keeps claims for longer
  /// than a ticket lives, so an old resend never looks new.
  bool expired(const ticket &Ticket) const;

private:
  const time_source &Clock;
  random_source &Random;
  const signer &Signer;
  seconds Lifetime;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_TICKETISSUER_H
