#include "bluebellkeel/Platform/PlatformListReader.h"
#include "bluebellkeel/Codec.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

static constexpr int StatusOk = 200;

tl::expected<platform_list, platform_error> platform_list_reader::read() const {
  auto Response =
      Client.send(Address, http_request("GET", "/instances", {}, ""));
  if (!Response)
    return tl::unexpected(platform_error::Unreachable);
  if (Response->status() != StatusOk)
    return tl::unexpected(platform_error::Refused);
  auto Json = parseJson(Response->body());
  if (!Json || !Json->is_object() || !Json->contains("instances") ||
      !(*Json)["instances"].is_array())
    return tl::unexpected(platform_error::Malformed);
  std::vector<instance_record> Instances;
  std::vector<upstream_record> Upstreams;
  for (const auto &Item : (*Json)["instances"]) {
    if (Item.value("kind", "") == "instance") {
      auto Instance = instanceRecordFrom(Item);
      if (Instance)
        Instances.push_back(*Instance);
      continue;
    }
    auto Upstream = upstreamRecordFrom(Item);
    if (Upstream)
      Upstreams.push_back(*Upstream);
  }
  return platform_list(std::move(Instances), std::move(Upstreams));
}
