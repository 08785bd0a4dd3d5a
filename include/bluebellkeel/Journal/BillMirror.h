#ifndef BLUEBELLKEEL_JOURNAL_BILLMIRROR_H
#define BLUEBELLKEEL_JOURNAL_BILLMIRROR_H

#include "bluebellkeel/Journal/Bill.h"
#include <functional>
#include <vector>

namespace bluebellkeel {

/// Keeps copies of bills at a peer while the log is down.
class bill_mirror {
public:
  virtual ~bill_mirror() = default;

  /// Sends \p Bills to a peer; \p Done is called with true once it has said
  /// that it holds them, and with false when no peer does in time.
  virtual void copy(const std::vector<bill> &Bills,
                    std::function<void(bool)> Done) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_BILLMIRROR_H
