#ifndef BLUEBELLKEEL_RELAY_STREAMEVENT_H
#define BLUEBELLKEEL_RELAY_STREAMEVENT_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace bluebellkeel {

/// One server-sent event as received, with its number if it has one.
class stream_event : public comparable<stream_event> {
public:
  stream_event(std::optional<std::uint64_t> Number, std::string Bytes)
      : Number(Number), Bytes(std::move(Bytes)) {}

  const std::optional<std::uint64_t> &number() const { return Number; }
  /// The event, including the empty line that ends it.
  const std::string &bytes() const { return Bytes; }
  /// True for the head of an HTTP response, which an upstream in trouble may
  /// write into a stream that only the end of its connection delimits.
  bool isResponseHead() const { return Bytes.rfind("HTTP/1.", 0) == 0; }
  auto key() const { return std::tie(Number, Bytes); }

private:
  std::optional<std::uint64_t> Number;
  std::string Bytes;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_STREAMEVENT_H
