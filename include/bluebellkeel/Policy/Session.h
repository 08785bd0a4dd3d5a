#ifndef BLUEBELLKEEL_POLICY_SESSION_H
#define BLUEBELLKEEL_POLICY_SESSION_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/VersionId.h"
#include <tuple>

namespace bluebellkeel {

/// A conversation that stays on one version.
class session : public comparable<session> {
public:
  session() = default;
  session(account_id Account, version_id Version)
      : Account(std::move(Account)), Version(std::move(Version)) {}

  const account_id &account() const { return Account; }
  const version_id &version() const { return Version; }
  auto key() const { return std::tie(Account, Version); }

private:
  account_id Account;
  version_id Version;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_SESSION_H
