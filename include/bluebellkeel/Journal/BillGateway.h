#ifndef BLUEBELLKEEL_JOURNAL_BILLGATEWAY_H
#define BLUEBELLKEEL_JOURNAL_BILLGATEWAY_H

#include "bluebellkeel/Journal/Bill.h"
#include "bluebellkeel/Journal/JournalError.h"
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Makes bills durable on behalf of requests.
class bill_gateway {
public:
  virtual ~bill_gateway() = default;

  /// True while a further bill can be held should the log be down.
  virtual bool hasCapacity() const = 0;

  /// Waits until \p Bill would outlive this instance: it stands in the log,
  /// or a peer holds a copy of it.
  virtual tl::expected<void, journal_error> commit(const bill &Bill) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_BILLGATEWAY_H
