#ifndef BLUEBELLKEEL_LIB_RELAY_BEGINRESPONSE_H
#define BLUEBELLKEEL_LIB_RELAY_BEGINRESPONSE_H

#include "bluebellkeel/Relay/ForwardCaller.h"
#include "bluebellkeel/Relay/ForwardProgress.h"

namespace bluebellkeel {

/// Sends \p Head to the caller unless the response has started. Returns false
/// if the caller is gone.
inline bool beginResponse(forward_caller &Caller, forward_progress &Progress,
                          const response_head &Head) {
  if (Progress.ResponseStarted)
    return true;
  Progress.ResponseStarted = true;
  return Caller.begin(Head);
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RELAY_BEGINRESPONSE_H
