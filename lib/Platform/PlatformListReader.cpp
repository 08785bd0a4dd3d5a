#include "bluebellkeel/Platform/PlatformListReader.h"
#include "bluebellkeel/Core/StableHash.h"
#include "bluebellkeel/Platform/PlatformListText.h"

using namespace bluebellkeel;

static constexpr int StatusOk = 200;

tl::expected<std::optional<platform_list>, platform_error>
platform_list_reader::read() {
  auto Response =
      Client.send(Address, http_request("GET", "/instances", {}, ""));
  if (!Response)
    return tl::unexpected(platform_error::Unreachable);
  if (Response->status() != StatusOk)
    return tl::unexpected(platform_error::Refused);
  std::uint64_t Hash = stableHash(Response->body());
  if (Hash == LastHash)
    return std::nullopt;
  auto List = parsePlatformList(Response->body());
  if (!List)
    return tl::unexpected(List.error());
  LastHash = Hash;
  return *List;
}
