#ifndef BLUEBELLKEEL_PEER_BILLCOPY_H
#define BLUEBELLKEEL_PEER_BILLCOPY_H

#include "bluebellkeel/Journal/Bill.h"
#include <vector>

namespace bluebellkeel {

/// Copies of bills that the receiver also appends to the log once the log is
/// available again.
class bill_copy : public comparable<bill_copy> {
public:
  bill_copy() = default;
  explicit bill_copy(std::vector<bill> Bills) : Bills(std::move(Bills)) {}

  const std::vector<bill> &bills() const { return Bills; }
  const std::vector<bill> &key() const { return Bills; }

private:
  std::vector<bill> Bills;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_BILLCOPY_H
