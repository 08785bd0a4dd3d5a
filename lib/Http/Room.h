#ifndef BLUEBELLKEEL_LIB_HTTP_ROOM_H
#define BLUEBELLKEEL_LIB_HTTP_ROOM_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstddef>
#include <tuple>

namespace bluebellkeel {

/// Room that connections take up, or that is needed for others.
class room : public comparable<room> {
public:
  room() = default;
  room(std::size_t Connections, std::size_t Bytes)
      : Connections(Connections), Bytes(Bytes) {}

  std::size_t connections() const { return Connections; }
  std::size_t bytes() const { return Bytes; }
  bool covers(const room &Needed) const {
    return Connections >= Needed.Connections && Bytes >= Needed.Bytes;
  }
  room operator+(const room &Other) const {
    return room(Connections + Other.Connections, Bytes + Other.Bytes);
  }
  auto key() const { return std::tie(Connections, Bytes); }

private:
  std::size_t Connections = 0;
  std::size_t Bytes = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_ROOM_H
