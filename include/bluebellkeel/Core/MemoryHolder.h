#ifndef BLUEBELLKEEL_CORE_MEMORYHOLDER_H
#define BLUEBELLKEEL_CORE_MEMORYHOLDER_H

namespace bluebellkeel {

/// Holds part of a memory budget that it can give up for others.
class memory_holder {
public:
  virtual ~memory_holder() = default;

  /// Makes the holder release its part soon. May be called from any thread and
  /// returns at once.
  virtual void giveUp() = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_MEMORYHOLDER_H
