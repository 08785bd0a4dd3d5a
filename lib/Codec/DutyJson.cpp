#include "bluebellkeel/Codec/DutyJson.h"
#include "bluebellkeel/Codec/FieldReader.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

static json countsToJson(const usage_report &Report) {
  json Counts = json::object();
  for (const auto &[Account, Count] : Report.counts())
    Counts[Account.text()] = Count;
  return Counts;
}

static usage_report reportFrom(field_reader &Fields) {
  std::uint64_t Window = Fields.number("w");
  usage_report::count_map Counts;
  const json &Object = Fields.optional("c");
  if (!Object.is_object()) {
    Fields.fail("c: no object");
    return {};
  }
  for (const auto &[Account, Count] : Object.items()) {
    if (!Count.is_number_unsigned()) {
      Fields.fail("c: a count is no whole number");
      break;
    }
    Counts[account_id(Account)] = Count.get<std::uint64_t>();
  }
  return {Window, std::move(Counts)};
}

json bluebellkeel::toJson(const duty_record &Record) {
  json Reports = json::array();
  for (const auto &Recorded : Record.reports())
    Reports.push_back({{"w", Recorded.report().window()},
                       {"c", countsToJson(Recorded.report())},
                       {"a", Recorded.acknowledged()}});
  return {{"holder", Record.holder().text()},
          {"token", Record.token()},
          {"reports", std::move(Reports)}};
}

tl::expected<duty_record, codec_error>
bluebellkeel::dutyRecordFrom(const json &Json) {
  field_reader Fields(Json);
  instance_id Holder(Fields.text("holder"));
  std::uint64_t Token = Fields.number("token");
  std::vector<recorded_report> Reports;
  for (const auto &Item : Fields.array("reports")) {
    field_reader Report(Item);
    usage_report Usage = reportFrom(Report);
    Reports.emplace_back(std::move(Usage), Report.flag("a"));
    if (Report.failed())
      Fields.fail(Report.error().message());
  }
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return duty_record(std::move(Holder), Token, std::move(Reports));
}

json bluebellkeel::toJson(const std::vector<usage_report> &Reports) {
  json Array = json::array();
  for (const auto &Report : Reports)
    Array.push_back({{"w", Report.window()}, {"c", countsToJson(Report)}});
  return Array;
}

tl::expected<std::vector<usage_report>, codec_error>
bluebellkeel::usageReportsFrom(const json &Json) {
  if (!Json.is_array() || Json.size() > duty_record::MaxReports)
    return tl::unexpected(codec_error("no array of a few reports"));
  std::vector<usage_report> Reports;
  for (const auto &Item : Json) {
    field_reader Fields(Item);
    Reports.push_back(reportFrom(Fields));
    if (Fields.failed())
      return tl::unexpected(Fields.error());
  }
  return Reports;
}

json bluebellkeel::toJson(const std::vector<service_work> &Work) {
  json Array = json::array();
  for (const auto &Item : Work)
    Array.push_back({{"s", Item.service().text()},
                     {"z", Item.centre().text()},
                     {"r", Item.running()},
                     {"p", Item.prefill()}});
  return Array;
}

tl::expected<std::vector<service_work>, codec_error>
bluebellkeel::serviceWorkFrom(const json &Json) {
  constexpr std::size_t MaxServices = 1000;
  constexpr std::uint64_t MaxAmount = 1000000000000;
  std::vector<service_work> Work;
  if (Json.is_null())
    return Work;
  if (!Json.is_array() || Json.size() > MaxServices)
    return tl::unexpected(codec_error("no array of services"));
  for (const auto &Item : Json) {
    field_reader Fields(Item);
    service_id Service(Fields.text("s"));
    data_centre_id Centre(Fields.text("z"));
    std::uint64_t Running = Fields.numberUpTo("r", MaxAmount);
    std::uint64_t Prefill = Fields.numberUpTo("p", MaxAmount);
    if (Fields.failed())
      return tl::unexpected(Fields.error());
    Work.emplace_back(std::move(Service), std::move(Centre), Running, Prefill);
  }
  return Work;
}
