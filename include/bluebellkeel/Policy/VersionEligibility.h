#ifndef BLUEBELLKEEL_POLICY_VERSIONELIGIBILITY_H
#define BLUEBELLKEEL_POLICY_VERSIONELIGIBILITY_H

#include "bluebellkeel/Policy/PlanError.h"
#include "bluebellkeel/Policy/RouteQuery.h"
#include "bluebellkeel/Settings/VersionSettings.h"
#include <optional>
#include <tl/expected.hpp>
#include <vector>

namespace bluebellkeel {

/// Returns the versions that may take the request, including rolling ones; with
/// a session, only its version.
tl::expected<std::vector<version_settings>, plan_error>
eligibleVersions(const route_query &Query);

/// Returns why work of \p Account must not be dispatched to \p Version now;
/// empty if it may. Checked again at each dispatch, since settings change while
/// requests wait.
std::optional<plan_error> checkDispatch(const routing_settings &Settings,
                                        const account_id &Account,
                                        const version_id &Version,
                                        bool InSession);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_VERSIONELIGIBILITY_H
