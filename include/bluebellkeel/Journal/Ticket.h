#ifndef BLUEBELLKEEL_JOURNAL_TICKET_H
#define BLUEBELLKEEL_JOURNAL_TICKET_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/LogOffset.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// The right to run one call at most once.
class ticket : public comparable<ticket> {
public:
  ticket() = default;
  ticket(std::string Id, account_id Account, wall_time IssuedAt,
         log_offset IssueOffset)
      : Id(std::move(Id)), Account(std::move(Account)), IssuedAt(IssuedAt),
        IssueOffset(IssueOffset) {}

  const std::string &id() const { return Id; }
  const account_id &account() const { return Account; }
  wall_time issuedAt() const { return IssuedAt; }
  /// An offset of the claims stream that precedes every claim of this ticket.
  log_offset issueOffset() const { return IssueOffset; }
  auto key() const { return std::tie(Id, Account, IssuedAt, IssueOffset); }

private:
  std::string Id;
  account_id Account;
  wall_time IssuedAt;
  log_offset IssueOffset;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_TICKET_H
