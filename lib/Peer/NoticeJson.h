#ifndef BLUEBELLKEEL_LIB_PEER_NOTICEJSON_H
#define BLUEBELLKEEL_LIB_PEER_NOTICEJSON_H

#include "bluebellkeel/Codec/FieldReader.h"
#include "bluebellkeel/Upstream/NoticeReport.h"
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace bluebellkeel {

nlohmann::json noticesToJson(const std::vector<notice_report> &Reports);

/// Reads the reports in the array \p Json; \p Outer fails if one is malformed.
std::vector<notice_report> noticesFromJson(const nlohmann::json &Json,
                                           field_reader &Outer);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_PEER_NOTICEJSON_H
