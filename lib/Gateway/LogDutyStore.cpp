#include "LogDutyStore.h"
#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Codec/DutyJson.h"
#include "bluebellkeel/Codec/JsonText.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

static constexpr const char *RecordKey = "duties";

tl::expected<duty_page, journal_error> log_duty_store::read() {
  auto Page = Log.readLatest(keyed_topic::Duties);
  if (!Page)
    return tl::unexpected(Page.error());
  for (const auto &Kept : Page->records()) {
    if (Kept.name() != RecordKey || Kept.isDeleted())
      continue;
    auto Json = parseJson(Kept.value());
    auto Record = Json ? dutyRecordFrom(*Json)
                       : tl::expected<duty_record, codec_error>(
                             tl::unexpected(Json.error()));
    if (!Record)
      return tl::unexpected(journal_error::Malformed);
    return duty_page(*Record, Page->end());
  }
  return duty_page(duty_record(), Page->end());
}

tl::expected<log_position, journal_error>
log_duty_store::write(const duty_record &Record, const log_position &At) {
  return Log.append(keyed_topic::Duties, RecordKey, toJson(Record).dump(),
                    At.offset());
}
