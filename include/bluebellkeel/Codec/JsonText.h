#ifndef BLUEBELLKEEL_CODEC_JSONTEXT_H
#define BLUEBELLKEEL_CODEC_JSONTEXT_H

#include "bluebellkeel/Codec/CodecError.h"
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Deepest nesting that is read.
constexpr int MaxJsonDepth = 32;

/// Reads JSON, with comments if \p Comments says so. Text that nests deeper
/// than MaxJsonDepth or repeats a key of an object is an error.
tl::expected<nlohmann::json, codec_error> parseJson(std::string_view Text,
                                                    bool Comments = false);

/// Reads CBOR under the same bounds.
tl::expected<nlohmann::json, codec_error> parseCbor(std::string_view Bytes);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CODEC_JSONTEXT_H
