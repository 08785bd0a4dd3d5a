#ifndef BLUEBELLKEEL_GATEWAY_GLIBCHEAP_H
#define BLUEBELLKEEL_GATEWAY_GLIBCHEAP_H

#include "bluebellkeel/Gateway/ProcessHeap.h"

namespace bluebellkeel {

/// The heap of the GNU C library.
class glibc_heap final : public process_heap {
public:
  /// Makes large blocks return to the system as soon as they are freed. Must be
  /// called before other threads start.
  static void returnLargeBlocks();

  void returnFreed() override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_GLIBCHEAP_H
