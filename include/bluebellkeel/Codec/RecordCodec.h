#ifndef BLUEBELLKEEL_CODEC_RECORDCODEC_H
#define BLUEBELLKEEL_CODEC_RECORDCODEC_H

#include "bluebellkeel/Codec/JsonConversion.h"
#include <nlohmann/json_fwd.hpp>

namespace bluebellkeel {

/// Stream name and decoder for the entries of one stream of the log.
///
/// \tparam entry_t type of the entries; specialised for each stream.
template <typename entry_t> struct record_codec;

/// Entries of the settings stream.
template <> struct record_codec<settings_record> {
  static constexpr const char *StreamName = "settings";
  static decoded<settings_record> decode(const nlohmann::json &Json) {
    return settingsRecordFrom(Json);
  }
};

/// Entries of the claims stream.
template <> struct record_codec<claim_entry> {
  static constexpr const char *StreamName = "claims";
  static decoded<claim_entry> decode(const nlohmann::json &Json) {
    return claimEntryFrom(Json);
  }
};

/// Entries of the bills stream.
template <> struct record_codec<bill> {
  static constexpr const char *StreamName = "bills";
  static decoded<bill> decode(const nlohmann::json &Json) {
    return billFrom(Json);
  }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CODEC_RECORDCODEC_H
