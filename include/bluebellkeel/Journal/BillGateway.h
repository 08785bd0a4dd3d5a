#ifndef BLUEBELLKEEL_JOURNAL_BILLGATEWAY_H
#define BLUEBELLKEEL_JOURNAL_BILLGATEWAY_H

#include "bluebellkeel/Journal/Bill.h"
#include "bluebellkeel/Journal/JournalError.h"
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Makes the bills of requests durable.
class bill_gateway {
public:
  virtual ~bill_gateway() = default;

  /// True if a further bill can be held while the log is down.
  virtual bool hasCapacity() const = 0;

  /// Waits until \p Bill is durable: until the log contains it or a peer holds
  /// a copy. Returns an error when it cannot be made durable.
  virtual tl::expected<void, journal_error> commit(const bill &Bill) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_BILLGATEWAY_H
