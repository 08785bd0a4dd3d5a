#include "bluebellkeel/Platform/PlatformListText.h"
#include "bluebellkeel/Codec.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

tl::expected<platform_list, platform_error>
bluebellkeel::parsePlatformList(const std::string &Text) {
  auto Json = parseJson(Text);
  if (!Json || !Json->is_object() || !Json->contains("instances") ||
      !(*Json)["instances"].is_array())
    return tl::unexpected(platform_error::Malformed);
  std::vector<instance_record> Instances;
  std::vector<upstream_record> Upstreams;
  for (const auto &Item : (*Json)["instances"]) {
    if (!Item.is_object())
      continue;
    if (Item.value("kind", nlohmann::json()) == "instance") {
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
