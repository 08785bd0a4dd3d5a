#ifndef BLUEBELLKEEL_CORE_MEMORYUSE_H
#define BLUEBELLKEEL_CORE_MEMORYUSE_H

namespace bluebellkeel {

/// What memory is taken for, in the order in which it is refused when memory
/// runs short.
enum class memory_use {
  /// An event of a stream that is much longer than most.
  LongEvent,
  /// What makes a response better but is not needed for it.
  Buffer,
  /// A new request.
  Request,
  /// A new connection, on which a request can at least be refused.
  Connection,
  /// What helps callers and operators while memory is short.
  Urgent,
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_MEMORYUSE_H
