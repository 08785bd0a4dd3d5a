#ifndef BLUEBELLKEEL_RELAY_RESPONSECHUNK_H
#define BLUEBELLKEEL_RELAY_RESPONSECHUNK_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <tuple>
#include <utility>

namespace bluebellkeel {

/// A chunk of a response, encoded in the caller's protocol.
class response_chunk : public comparable<response_chunk> {
public:
  response_chunk() = default;
  response_chunk(std::string Payload, bool Final)
      : Payload(std::move(Payload)), Final(Final) {}

  const std::string &payload() const { return Payload; }
  /// True for the chunk that completes the response.
  bool isFinal() const { return Final; }
  auto key() const { return std::tie(Payload, Final); }

private:
  std::string Payload;
  bool Final = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_RESPONSECHUNK_H
