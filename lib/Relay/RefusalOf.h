#ifndef BLUEBELLKEEL_LIB_RELAY_REFUSALOF_H
#define BLUEBELLKEEL_LIB_RELAY_REFUSALOF_H

#include "bluebellkeel/Policy/PlanError.h"
#include "bluebellkeel/Relay/AdmissionError.h"
#include "bluebellkeel/Relay/AttemptError.h"
#include "bluebellkeel/Relay/Refusal.h"

namespace bluebellkeel {

/// Returns a refusal of a request that did not run.
refusal notRunRefusal(refusal_reason Reason, std::string Detail);

/// Converts errors of the lower layers into refusals. \p TriedBefore: earlier
/// attempts were made, so the run state is Unknown.
refusal refusalOf(plan_error Error);
refusal refusalOf(admission_error Error, bool TriedBefore);

/// Returns whether a request may have run after an attempt that failed with \p
/// Error.
run_state runStateAfter(attempt_error Error);

/// Returns \p Refusal with run_state::Unknown in place of NotRun if \p
/// Attempted, because earlier attempts may have run.
refusal withEarlierAttempts(const refusal &Refusal, bool Attempted);

/// True if another version may still serve a request refused for \p Reason.
bool mayTryNextVersion(refusal_reason Reason);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RELAY_REFUSALOF_H
