#ifndef BLUEBELLKEEL_RELAY_RESPONSECHUNK_H
#define BLUEBELLKEEL_RELAY_RESPONSECHUNK_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <tuple>
#include <utility>

namespace bluebellkeel {

/// A piece of an answer, in the form that the caller's protocol carries.
class response_chunk : public comparable<response_chunk> {
public:
  response_chunk() = default;
  response_chunk(std::string Payload, bool Final)
      : Payload(std::move(Payload)), Final(Final) {}

  const std::string &payload() const { return Payload; }
  /// True for the piece that makes the answer whole.
  bool isFinal() const { return Final; }
  auto key() const { return std::tie(Payload, Final); }

private:
  std::string Payload;
  bool Final = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_RESPONSECHUNK_H
