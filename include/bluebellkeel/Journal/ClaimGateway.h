#ifndef BLUEBELLKEEL_JOURNAL_CLAIMGATEWAY_H
#define BLUEBELLKEEL_JOURNAL_CLAIMGATEWAY_H

#include "bluebellkeel/Journal/ClaimVerdict.h"
#include "bluebellkeel/Journal/Ticket.h"
#include <string>

namespace bluebellkeel {

/// Claims tickets for attempts.
class claim_gateway {
public:
  virtual ~claim_gateway() = default;

  /// Waits for the verdict on \p AttemptId, which must never be used twice.
  /// Unless the verdict is Granted, the attempt must not be dispatched.
  virtual claim_verdict claim(const ticket &Ticket,
                              const std::string &AttemptId) = 0;

  /// Records that a granted attempt was not dispatched and never will be.
  virtual void release(const ticket &Ticket, const std::string &AttemptId) = 0;

  /// Records how a granted attempt ended.
  virtual void finish(const ticket &Ticket, const std::string &AttemptId,
                      const recorded_outcome &Outcome) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_CLAIMGATEWAY_H
