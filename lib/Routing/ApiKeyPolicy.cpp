#include "bluebellkeel/Routing/ApiKeyPolicy.h"

using namespace bluebellkeel;

api_key_policy::api_key_policy(bool Required,
                               std::vector<api_key_account> Accounts)
    : Required(Required), Accounts(std::move(Accounts)) {
  for (std::size_t I = 0; I < this->Accounts.size(); ++I) {
    for (const auto &Key : this->Accounts[I].keys()) {
      // A caller that presents no key has an empty one.
      if (Key.empty())
        continue;
      ByKey.emplace(Key, I);
    }
  }
}

const api_key_account *api_key_policy::accountOf(std::string_view Key) const {
  auto Found = ByKey.find(Key);
  return Found == ByKey.end() ? nullptr : &Accounts[Found->second];
}
