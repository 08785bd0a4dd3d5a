#ifndef BLUEBELLKEEL_LIB_HTTP_MEMORYCOSTS_H
#define BLUEBELLKEEL_LIB_HTTP_MEMORYCOSTS_H

#include <algorithm>
#include <cstddef>

namespace bluebellkeel {

/// Memory that a connection without a request holds: mostly the touched part of
/// its coroutine's stack.
constexpr std::size_t ConnectionBytes = 24UL * 1024;

/// Returns the memory that a request holds besides its connection: the
/// connection to the upstream, its head in several forms, and its body.
constexpr std::size_t requestBytes(std::size_t HeadBytes, std::size_t Fields,
                                   std::size_t BodyBytes) {
  constexpr std::size_t Fixed = 20UL * 1024;
  constexpr std::size_t CopiesOfHead = 6;
  // A field of a few bytes takes far more than its text.
  constexpr std::size_t FieldBytes = 256;
  std::size_t Head = std::max(CopiesOfHead * HeadBytes, FieldBytes * Fields);
  // Small bodies leave gaps in the heap.
  return Fixed + Head + BodyBytes + BodyBytes / 8;
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_MEMORYCOSTS_H
