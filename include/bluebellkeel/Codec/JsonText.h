#ifndef BLUEBELLKEEL_CODEC_JSONTEXT_H
#define BLUEBELLKEEL_CODEC_JSONTEXT_H

#include "bluebellkeel/Codec/CodecError.h"
#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Maximum nesting depth of JSON and CBOR input.
constexpr int MaxJsonDepth = 32;

/// Parses JSON, and allows comments in it if \p Comments is true. Returns an
/// error if the text nests deeper than MaxJsonDepth or repeats a key of an
/// object.
tl::expected<nlohmann::json, codec_error> parseJson(std::string_view Text,
                                                    bool Comments = false);

/// Parses CBOR. Returns an error if the input nests deeper than MaxJsonDepth.
tl::expected<nlohmann::json, codec_error> parseCbor(std::string_view Bytes);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CODEC_JSONTEXT_H
