#include "bluebellkeel/Policy/VersionEligibility.h"

using namespace bluebellkeel;

static bool takesWork(version_stage Stage, bool InSession) {
  switch (Stage) {
  case version_stage::Rolling:
  case version_stage::Active:
    return true;
  case version_stage::Held:
    return InSession;
  case version_stage::Withdrawn:
    return false;
  }
  return false;
}

/// True if \p Model names \p Version: `lace-scribe` names all versions of that
/// model, `lace-scribe@3` only one.
static bool namesVersion(const std::string &Model, const version_id &Version) {
  if (Model == route_query::AnyModel || Model == Version.text())
    return true;
  const std::string &Text = Version.text();
  return Text.compare(0, Model.size(), Model) == 0 &&
         Text.size() > Model.size() && Text[Model.size()] == '@';
}

std::optional<plan_error>
bluebellkeel::checkDispatch(const routing_settings &Settings,
                            const account_id &Account,
                            const version_id &Version, bool InSession) {
  const account_settings *Current = Settings.account(Account);
  if (!Current || Current->versions().count(Version) == 0)
    return plan_error::VersionNotAllowed;
  const version_settings *Found = Settings.version(Version);
  if (!Found || !takesWork(Found->stage(), InSession))
    return InSession ? plan_error::SessionVersionWithdrawn
                     : plan_error::VersionNotServing;
  return std::nullopt;
}

static tl::expected<std::vector<version_settings>, plan_error>
sessionVersion(const route_query &Query) {
  const version_id &Version = Query.continuedSession()->version();
  auto Error = checkDispatch(Query.settings(), Query.account().id(), Version,
                             /*InSession=*/true);
  if (Error)
    return tl::unexpected(*Error);
  return std::vector<version_settings>{*Query.settings().version(Version)};
}

tl::expected<std::vector<version_settings>, plan_error>
bluebellkeel::eligibleVersions(const route_query &Query) {
  if (Query.continuedSession())
    return sessionVersion(Query);
  std::vector<version_settings> Eligible;
  bool Named = false;
  for (const auto &Version : Query.account().versions()) {
    if (!namesVersion(Query.model(), Version))
      continue;
    Named = true;
    const version_settings *Found = Query.settings().version(Version);
    if (Found && takesWork(Found->stage(), /*InSession=*/false))
      Eligible.push_back(*Found);
  }
  if (!Eligible.empty())
    return Eligible;
  if (Query.model() == route_query::AnyModel)
    return tl::unexpected(plan_error::NoAllowedVersion);
  return tl::unexpected(Named ? plan_error::VersionNotServing
                              : plan_error::VersionNotAllowed);
}
