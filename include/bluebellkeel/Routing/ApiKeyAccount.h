#ifndef BLUEBELLKEEL_ROUTING_APIKEYACCOUNT_H
#define BLUEBELLKEEL_ROUTING_APIKEYACCOUNT_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/Comparable.h"
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace bluebellkeel {

/// A client account and the API keys of its callers.
class api_key_account : public comparable<api_key_account> {
public:
  api_key_account(account_id Account, std::vector<std::string> Keys,
                  std::optional<unsigned> Priority)
      : Account(std::move(Account)), Keys(std::move(Keys)), Priority(Priority) {
  }

  const account_id &account() const { return Account; }
  const std::vector<std::string> &keys() const { return Keys; }
  /// Overrides the route's priority; empty to keep it.
  const std::optional<unsigned> &priority() const { return Priority; }
  auto key() const { return std::tie(Account, Keys, Priority); }

private:
  account_id Account;
  std::vector<std::string> Keys;
  std::optional<unsigned> Priority;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_APIKEYACCOUNT_H
