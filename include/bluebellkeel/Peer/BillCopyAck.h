#ifndef BLUEBELLKEEL_PEER_BILLCOPYACK_H
#define BLUEBELLKEEL_PEER_BILLCOPYACK_H

#include "bluebellkeel/Core/Comparable.h"

namespace bluebellkeel {

/// Confirms or denies to the sender of a bill_copy that the receiver holds the
/// copies.
class bill_copy_ack : public comparable<bill_copy_ack> {
public:
  bill_copy_ack() = default;
  explicit bill_copy_ack(bool Held) : Held(Held) {}

  bool held() const { return Held; }
  bool key() const { return Held; }

private:
  bool Held = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_BILLCOPYACK_H
