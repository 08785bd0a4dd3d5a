#ifndef BLUEBELLKEEL_LIB_PEER_PEERBODYJSON_H
#define BLUEBELLKEEL_LIB_PEER_PEERBODYJSON_H

#include "bluebellkeel/Codec/CodecError.h"
#include "bluebellkeel/Peer/PeerBody.h"
#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Convert message bodies to and from the JSON values that are sent as CBOR.
/// Field names are short because heartbeats and grants make up most of the
/// control traffic.
nlohmann::json bodyToJson(const peer_body &Body);
tl::expected<peer_body, codec_error> bodyFromJson(std::string_view Kind,
                                                  const nlohmann::json &Json);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_PEER_PEERBODYJSON_H
