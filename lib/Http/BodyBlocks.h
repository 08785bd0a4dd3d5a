#ifndef BLUEBELLKEEL_LIB_HTTP_BODYBLOCKS_H
#define BLUEBELLKEEL_LIB_HTTP_BODYBLOCKS_H

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace bluebellkeel {

/// A body of unknown length while it is received. It grows by whole blocks, so
/// that its bytes are never copied into a larger buffer beside the old one.
class body_blocks {
public:
  /// Large enough for the allocator to map a block of its own, and to return it
  /// to the system as soon as it is released.
  static constexpr std::size_t BlockBytes = 64UL * 1024;

  /// Makes the next block hold \p Bytes: the whole of a body of known length.
  void expect(std::size_t Bytes) { NextBlockBytes = Bytes; }
  void append(std::string_view Bytes);
  void clear() { *this = body_blocks(); }

  std::size_t size() const { return Size; }
  /// Moves the bytes into one string and releases each block as soon as it is
  /// copied. Leaves the body empty.
  std::string take();

private:
  std::deque<std::string> Blocks;
  std::size_t NextBlockBytes = BlockBytes;
  std::size_t Size = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_BODYBLOCKS_H
