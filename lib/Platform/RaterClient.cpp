#include "bluebellkeel/Platform/RaterClient.h"
#include "absl/strings/str_cat.h"
#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Codec/FieldReader.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

static constexpr int FirstErrorStatus = 300;

tl::expected<void, platform_error>
rater_client::submit(const version_id &Version,
                     const std::string &Answer) const {
  json Body = {{"origin", Origin.text()},
               {"version", Version.text()},
               {"answer", Answer}};
  auto Response =
      Client.send(Address, http_request("POST", "/answers", {}, Body.dump()));
  if (!Response)
    return tl::unexpected(platform_error::Unreachable);
  if (Response->status() >= FirstErrorStatus)
    return tl::unexpected(platform_error::Refused);
  return {};
}

tl::expected<std::vector<rating>, platform_error>
rater_client::fetch(std::uint64_t After) const {
  std::string Target =
      absl::StrCat("/ratings?origin=", Origin.text(), "&after=", After);
  auto Response = Client.send(Address, http_request("GET", Target, {}, ""));
  if (!Response)
    return tl::unexpected(platform_error::Unreachable);
  auto Json = parseJson(Response->body());
  if (!Json)
    return tl::unexpected(platform_error::Malformed);
  field_reader Fields(*Json);
  std::vector<rating> Ratings;
  for (const auto &Item : Fields.array("ratings")) {
    field_reader Rating(Item);
    std::uint64_t Number = Rating.number("number");
    version_id Version(Rating.text("version"));
    bool Good = Rating.flag("good");
    if (Rating.failed())
      return tl::unexpected(platform_error::Malformed);
    Ratings.emplace_back(Number, Version, Good);
  }
  if (Fields.failed())
    return tl::unexpected(platform_error::Malformed);
  return Ratings;
}
