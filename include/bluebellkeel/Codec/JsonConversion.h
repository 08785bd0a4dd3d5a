#ifndef BLUEBELLKEEL_CODEC_JSONCONVERSION_H
#define BLUEBELLKEEL_CODEC_JSONCONVERSION_H

#include "bluebellkeel/Codec/CodecError.h"
#include "bluebellkeel/Journal/Bill.h"
#include "bluebellkeel/Journal/ClaimEntry.h"
#include "bluebellkeel/Journal/SettingsRecord.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include "bluebellkeel/Settings/ChangeOutcome.h"
#include "bluebellkeel/Settings/SettingsState.h"
#include "bluebellkeel/Upstream/LoadReport.h"
#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

namespace bluebellkeel {

template <typename value_t> using decoded = tl::expected<value_t, codec_error>;

/// Conversions between JSON and the types that leave the process. Decoding
/// checks every field.
nlohmann::json toJson(const setting_value &Value);
nlohmann::json toJson(const settings_change &Change);
nlohmann::json toJson(const settings_state &State);
nlohmann::json toJson(const settings_record &Record);
nlohmann::json toJson(const change_outcome &Outcome);
nlohmann::json toJson(const claim_entry &Entry);
nlohmann::json toJson(const bill &Bill);
nlohmann::json toJson(const instance_record &Record);
nlohmann::json toJson(const upstream_record &Record);
nlohmann::json toJson(const load_amount &Amount);
nlohmann::json toJson(const load_report &Report);

decoded<setting_value> settingValueFrom(const nlohmann::json &Json);
decoded<settings_change> settingsChangeFrom(const nlohmann::json &Json);
decoded<settings_state> settingsStateFrom(const nlohmann::json &Json);
decoded<settings_record> settingsRecordFrom(const nlohmann::json &Json);
decoded<claim_entry> claimEntryFrom(const nlohmann::json &Json);
decoded<bill> billFrom(const nlohmann::json &Json);
decoded<instance_record> instanceRecordFrom(const nlohmann::json &Json);
decoded<upstream_record> upstreamRecordFrom(const nlohmann::json &Json);
decoded<load_amount> loadAmountFrom(const nlohmann::json &Json);
decoded<load_report> loadReportFrom(const nlohmann::json &Json);

/// Returns the name of a verdict: accepted, conflict, forbidden or invalid.
std::string_view toString(change_outcome::verdict Verdict);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CODEC_JSONCONVERSION_H
