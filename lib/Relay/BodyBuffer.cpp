#include "BodyBuffer.h"
#include <algorithm>

using namespace bluebellkeel;

/// Most bytes that are held before the response has begun.
static constexpr std::size_t MaxHeldBytes = 256UL * 1024;

body_buffer::body_buffer(memory_budget &Memory,
                         std::optional<std::size_t> Length)
    : Reservation(Memory, memory_use::Buffer), MaxBytes(MaxHeldBytes) {
  // A body that cannot be held whole is better passed on from its beginning
  // than when others have taken the rest of the memory.
  if (!Length)
    return;
  std::size_t Bytes = std::min(*Length, MaxHeldBytes);
  if (Reservation.growTo(Bytes))
    Text.reserve(Bytes);
  else
    MaxBytes = 0;
}

bool body_buffer::add(std::string_view Piece) {
  Text += Piece;
  // Growth leaves gaps in the heap.
  std::size_t Bytes = Text.size() <= Reservation.bytes()
                          ? Text.size()
                          : Text.size() + Text.size() / 4;
  return Text.size() <= MaxBytes && Reservation.growTo(Bytes);
}

void body_buffer::clear() {
  Text = std::string();
  Reservation.shrinkTo(0);
  MaxBytes = 0;
}
