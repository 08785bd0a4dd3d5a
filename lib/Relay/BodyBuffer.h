#ifndef BLUEBELLKEEL_LIB_RELAY_BODYBUFFER_H
#define BLUEBELLKEEL_LIB_RELAY_BODYBUFFER_H

#include "bluebellkeel/Core/MemoryReservation.h"
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bluebellkeel {

/// Holds the beginning of a response's body until it is complete, so that a
/// truncated one can still be replaced by a retry. While memory is short, and
/// for long bodies, the caller gets it piece by piece instead.
class body_buffer {
public:
  /// \param Length of the whole body in bytes; empty if it is not known.
  body_buffer(memory_budget &Memory, std::optional<std::size_t> Length);

  /// Adds \p Piece. Returns false if text() has to be passed on now.
  bool add(std::string_view Piece);
  const std::string &text() const { return Text; }
  /// Drops what was passed on. Nothing more is held after that.
  void clear();
  std::string take() { return std::move(Text); }

private:
  memory_reservation Reservation;
  std::string Text;
  std::size_t MaxBytes;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RELAY_BODYBUFFER_H
