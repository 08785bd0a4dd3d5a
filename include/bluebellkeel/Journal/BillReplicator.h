#ifndef BLUEBELLKEEL_JOURNAL_BILLREPLICATOR_H
#define BLUEBELLKEEL_JOURNAL_BILLREPLICATOR_H

#include "bluebellkeel/Journal/Bill.h"
#include <functional>
#include <vector>

namespace bluebellkeel {

/// Replicates bills to a peer while the log is down.
class bill_replicator {
public:
  virtual ~bill_replicator() = default;

  /// Sends \p Bills to a peer. Calls \p Done with true once the peer confirms
  /// that it holds them, and with false when no peer confirms in time.
  virtual void replicate(const std::vector<bill> &Bills,
                         std::function<void(bool)> Done) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_BILLREPLICATOR_H
