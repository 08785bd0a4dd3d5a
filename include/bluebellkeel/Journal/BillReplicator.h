#ifndef BLUEBELLKEEL_JOURNAL_BILLREPLICATOR_H
#define BLUEBELLKEEL_JOURNAL_BILLREPLICATOR_H

#include "bluebellkeel/Journal/Bill.h"
#include <functional>
#include <vector>

namespace bluebellkeel {

/// Keeps copies of bills at a peer while the log is down.
class bill_replicator {
public:
  virtual ~bill_replicator() = default;

  /// Sends \p Bills to a peer; \p Done is called with true once it has said
  /// that it holds them, and with false when no peer does in time.
  virtual void replicate(const std::vector<bill> &Bills,
                         std::function<void(bool)> Done) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_BILLREPLICATOR_H
