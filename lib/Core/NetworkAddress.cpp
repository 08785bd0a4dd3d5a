#include "bluebellkeel/Core/NetworkAddress.h"
#include <algorithm>
#include <charconv>

using namespace bluebellkeel;

static bool isVisibleAscii(char Char) { return Char > ' ' && Char <= '~'; }

std::optional<network_address> network_address::parse(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return std::nullopt;
  auto Host = Text.substr(0, Colon);
  if (!std::all_of(Host.begin(), Host.end(), isVisibleAscii))
    return std::nullopt;
  auto Digits = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const char *End = Digits.data() + Digits.size();
  auto Result = std::from_chars(Digits.data(), End, Port);
  if (Result.ec != std::errc() || Result.ptr != End || Port == 0)
    return std::nullopt;
  return network_address(std::string(Host), Port);
}
