#ifndef BLUEBELLKEEL_LIB_RELAY_REFUSALOF_H
#define BLUEBELLKEEL_LIB_RELAY_REFUSALOF_H

#include "bluebellkeel/Policy/PlanError.h"
#include "bluebellkeel/Relay/AdmissionError.h"
#include "bluebellkeel/Relay/AttemptError.h"
#include "bluebellkeel/Relay/Refusal.h"

namespace bluebellkeel {

/// A refusal of a request that did not run.
refusal notRunRefusal(refusal_reason Reason, std::string Detail);

/// Turns the errors of the layers below into refusals.
refusal refusalOf(plan_error Error);
refusal refusalOf(admission_error Error, bool TriedBefore);

/// What is known of the run after an attempt that failed with \p Error.
run_state runStateAfter(attempt_error Error);

/// The refusal as it stands when attempts may have run before it.
refusal withEarlierAttempts(const refusal &Refusal, bool Attempted);

/// True when another version may still serve a request refused like this.
bool mayTryNextVersion(refusal_reason Reason);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RELAY_REFUSALOF_H
