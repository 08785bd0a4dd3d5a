#include "NoticeJson.h"
#include <cmath>
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

json bluebellkeel::noticesToJson(const std::vector<notice_report> &Reports) {
  json Json = json::array();
  for (const auto &Report : Reports) {
    json Item = {{"u", Report.upstream().upstream().text()},
                 {"n", Report.upstream().number()},
                 {"a", static_cast<std::uint64_t>(Report.age().count())}};
    if (Report.rateLimit())
      Item["r"] = *Report.rateLimit();
    if (Report.leaving())
      Item["v"] = true;
    Json.push_back(std::move(Item));
  }
  return Json;
}

static std::optional<double> rateLimitFrom(field_reader &Item) {
  if (Item.optional("r").is_null())
    return std::nullopt;
  double Rate = Item.real("r");
  if (!std::isfinite(Rate) || Rate <= 0)
    Item.fail("a limit is not positive");
  return Rate;
}

std::vector<notice_report> bluebellkeel::noticesFromJson(const json &Json,
                                                         field_reader &Outer) {
  constexpr std::uint64_t MaxAgeMs = 86400000;
  std::vector<notice_report> Reports;
  for (const auto &Element : Json) {
    field_reader Item(Element);
    upstream_id Id(Item.text("u"));
    std::uint64_t Incarnation = Item.number("n");
    std::uint64_t Age = Item.number("a");
    auto RateLimit = rateLimitFrom(Item);
    bool Leaving = !Item.optional("v").is_null() && Item.flag("v");
    if (Age > MaxAgeMs)
      Item.fail("an age is over a day");
    if (Item.failed()) {
      Outer.fail(Item.error().message());
      continue;
    }
    Reports.emplace_back(upstream_incarnation(Id, Incarnation), RateLimit,
                         Leaving, milliseconds(Age));
  }
  return Reports;
}
