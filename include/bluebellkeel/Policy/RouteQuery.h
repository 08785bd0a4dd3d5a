#ifndef BLUEBELLKEEL_POLICY_ROUTEQUERY_H
#define BLUEBELLKEEL_POLICY_ROUTEQUERY_H

#include "bluebellkeel/Policy/Session.h"
#include "bluebellkeel/Settings/AccountSettings.h"
#include "bluebellkeel/Settings/RoutingSettings.h"
#include <optional>
#include <string>
#include <tuple>

namespace bluebellkeel {

/// The input of a version_planner. References the settings and the account,
/// which must outlive it.
class route_query {
public:
  /// Model name that lets the router choose.
  static constexpr const char *AnyModel = "auto";

  route_query(const routing_settings &Settings, const account_settings &Account,
              std::string Model, std::optional<session> Session)
      : Settings(Settings), Account(Account), Model(std::move(Model)),
        Session(std::move(Session)) {}

  const routing_settings &settings() const { return Settings; }
  const account_settings &account() const { return Account; }
  /// `auto`, a model, or a model and version as `model@version`.
  const std::string &model() const { return Model; }
  const std::optional<session> &continuedSession() const { return Session; }

private:
  const routing_settings &Settings;
  const account_settings &Account;
  std::string Model;
  std::optional<session> Session;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROUTEQUERY_H
