#include "bluebellkeel/Policy/PlanError.h"

using namespace bluebellkeel;

std::string_view bluebellkeel::toString(plan_error Error) {
  switch (Error) {
  case plan_error::NoAllowedVersion:
    return "no_allowed_version";
  case plan_error::VersionNotAllowed:
    return "version_not_allowed";
  case plan_error::VersionNotServing:
    return "version_not_serving";
  case plan_error::SessionVersionWithdrawn:
    return "session_version_withdrawn";
  }
  return "";
}
