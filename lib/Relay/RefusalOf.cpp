#include "RefusalOf.h"

using namespace bluebellkeel;

refusal bluebellkeel::notRunRefusal(refusal_reason Reason, std::string Detail) {
  return refusal(Reason, run_state::NotRun, std::move(Detail));
}

refusal bluebellkeel::refusalOf(plan_error Error) {
  switch (Error) {
  case plan_error::NoAllowedVersion:
    return notRunRefusal(
        refusal_reason::NoAllowedVersion,
        "No version the client account may use takes new work.");
  case plan_error::VersionNotAllowed:
    return notRunRefusal(refusal_reason::VersionNotAllowed,
                         "The client account may not use this version.");
  case plan_error::VersionNotServing:
    return notRunRefusal(refusal_reason::VersionNotServing,
                         "The version takes no new work.");
  case plan_error::SessionVersionWithdrawn:
    return notRunRefusal(refusal_reason::SessionVersionWithdrawn,
                         "The version of this session was withdrawn.");
  }
  return notRunRefusal(refusal_reason::NoAllowedVersion, "");
}

refusal bluebellkeel::refusalOf(admission_error Error, bool TriedBefore) {
  run_state Run = TriedBefore ? run_state::Unknown : run_state::NotRun;
  switch (Error) {
  case admission_error::NoUpstream:
    return refusal(refusal_reason::NoUpstream, Run,
                   "No upstream takes new work of this kind.");
  case admission_error::TimedOut:
    return refusal(refusal_reason::NoCapacity, Run,
                   "No upstream had room in time.");
  case admission_error::AccountQueueFull:
    return refusal(refusal_reason::AccountQueueFull, Run,
                   "The client account has too many requests waiting.");
  }
  return refusal(refusal_reason::NoUpstream, Run, "");
}

run_state bluebellkeel::runStateAfter(attempt_error Error) {
  return definitelyNotRun(Error) ? run_state::NotRun : run_state::Unknown;
}

refusal bluebellkeel::withEarlierAttempts(const refusal &Refusal,
                                          bool Attempted) {
  if (!Attempted || Refusal.run() != run_state::NotRun)
    return Refusal;
  return refusal(Refusal.reason(), run_state::Unknown, Refusal.detail());
}

bool bluebellkeel::mayTryNextVersion(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::NoUpstream:
  case refusal_reason::NoCapacity:
  case refusal_reason::UpstreamFailed:
  case refusal_reason::VersionNotServing:
  case refusal_reason::VersionNotAllowed:
    return true;
  default:
    return false;
  }
}
