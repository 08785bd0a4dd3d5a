#ifndef BLUEBELLKEEL_CODEC_DUTYJSON_H
#define BLUEBELLKEEL_CODEC_DUTYJSON_H

#include "bluebellkeel/Codec/CodecError.h"
#include "bluebellkeel/Duty.h"
#include "bluebellkeel/Scale/ServiceWork.h"
#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>
#include <vector>

namespace bluebellkeel {

nlohmann::json toJson(const duty_record &Record);
tl::expected<duty_record, codec_error>
dutyRecordFrom(const nlohmann::json &Json);

nlohmann::json toJson(const std::vector<usage_report> &Reports);
/// Returns at most duty_record::MaxReports reports; more are an error.
tl::expected<std::vector<usage_report>, codec_error>
usageReportsFrom(const nlohmann::json &Json);

nlohmann::json toJson(const std::vector<service_work> &Work);
/// Returns the work on at most 1,000 services; more are an error. Without a
/// value there is none.
tl::expected<std::vector<service_work>, codec_error>
serviceWorkFrom(const nlohmann::json &Json);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CODEC_DUTYJSON_H
