#ifndef BLUEBELLKEEL_ROUTING_APIKEYPOLICY_H
#define BLUEBELLKEEL_ROUTING_APIKEYPOLICY_H

#include "bluebellkeel/Routing/ApiKeyAccount.h"
#include <cstddef>
#include <map>
#include <string_view>

namespace bluebellkeel {

/// Says whether callers must present an API key, and which keys are valid. An
/// empty key is never valid.
class api_key_policy : public comparable<api_key_policy> {
public:
  /// Returns a policy that admits any caller, with or without a key.
  static api_key_policy anyCaller() { return api_key_policy(false, {}); }
  /// Returns a policy that admits callers with a key of one of \p Accounts; if
  /// the list is empty, it admits no caller.
  static api_key_policy onlyAccounts(std::vector<api_key_account> Accounts) {
    return api_key_policy(true, std::move(Accounts));
  }

  bool requiresKey() const { return Required; }
  const std::vector<api_key_account> &accounts() const { return Accounts; }
  /// Returns the account with the API key \p Key; null if there is none.
  const api_key_account *accountOf(std::string_view Key) const;
  /// Returns the number of keys that accountOf() knows.
  std::size_t validKeys() const { return ByKey.size(); }

  auto key() const { return std::tie(Required, Accounts); }

private:
  api_key_policy(bool Required, std::vector<api_key_account> Accounts);

  bool Required;
  std::vector<api_key_account> Accounts;
  /// Indices into Accounts by API key.
  std::map<std::string, std::size_t, std::less<>> ByKey;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_APIKEYPOLICY_H
