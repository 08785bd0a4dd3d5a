#ifndef BLUEBELLKEEL_GATEWAY_PROCESSHEAP_H
#define BLUEBELLKEEL_GATEWAY_PROCESSHEAP_H

namespace bluebellkeel {

/// The heap of this process.
class process_heap {
public:
  virtual ~process_heap() = default;

  /// Returns memory that was freed to the system. Takes milliseconds if there
  /// is much of it.
  virtual void returnFreed() = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_PROCESSHEAP_H
