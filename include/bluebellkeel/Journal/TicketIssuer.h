#ifndef BLUEBELLKEEL_JOURNAL_TICKETISSUER_H
#define BLUEBELLKEEL_JOURNAL_TICKETISSUER_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Core/Signer.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/Ticket.h"
#include <optional>
#include <string>

namespace bluebellkeel {

/// Issues tickets and decodes tickets that callers present. All instances share
/// the signing key, so each decodes the tickets of every other.
class ticket_issuer {
public:
  ticket_issuer(const time_source &Clock, random_source &Random,
                const signer &Signer, seconds Lifetime)
      : Clock(Clock), Random(Random), Signer(Signer), Lifetime(Lifetime) {}

  /// Returns a new ticket of \p Account. \p IssueOffset is the newest offset of
  /// the claims stream that this instance knows.
  ticket issue(const account_id &Account, log_offset IssueOffset);

  std::string encode(const ticket &Ticket) const;
  /// Returns the ticket in \p Text; empty when the text was forged, altered or
  /// truncated.
  std::optional<ticket> decode(const std::string &Text) const;

  /// True if the ticket may not run, because its lifetime is over or its time
  /// of issue lies too far in the future. The log retains claims for longer
  /// than the lifetime of a ticket, so an old resend never looks new.
  bool expired(const ticket &Ticket) const;

private:
  const time_source &Clock;
  random_source &Random;
  const signer &Signer;
  seconds Lifetime;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_TICKETISSUER_H
