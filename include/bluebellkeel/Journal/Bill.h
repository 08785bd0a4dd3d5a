#ifndef BLUEBELLKEEL_JOURNAL_BILL_H
#define BLUEBELLKEEL_JOURNAL_BILL_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/RequestId.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// The cost of one request of a client account. Readers of the bills stream
/// drop further bills with the same account and request.
class bill : public comparable<bill> {
public:
  bill() = default;
  bill(account_id Account, request_id Request, std::string Work,
       std::uint64_t Tokens, std::uint64_t Cost)
      : Account(std::move(Account)), Request(std::move(Request)),
        Work(std::move(Work)), Tokens(Tokens), Cost(Cost) {}

  const account_id &account() const { return Account; }
  const request_id &request() const { return Request; }
  /// The model version that served the request, or `service/operation`.
  const std::string &work() const { return Work; }
  /// Tokens of prompt and completion together.
  std::uint64_t tokens() const { return Tokens; }
  /// In millionths of the currency unit.
  std::uint64_t cost() const { return Cost; }
  auto key() const { return std::tie(Account, Request, Work, Tokens, Cost); }

private:
  account_id Account;
  request_id Request;
  std::string Work;
  std::uint64_t Tokens = 0;
  std::uint64_t Cost = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_BILL_H
