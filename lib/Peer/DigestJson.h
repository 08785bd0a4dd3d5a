#ifndef BLUEBELLKEEL_LIB_PEER_DIGESTJSON_H
#define BLUEBELLKEEL_LIB_PEER_DIGESTJSON_H

#include "bluebellkeel/Codec/CodecError.h"
#include "bluebellkeel/Peer/PeerBody.h"
#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Convert digests and the view messages that follow them to and from JSON
/// values.
nlohmann::json digestToJson(const instance_digest &Body);
nlohmann::json viewQueryToJson(const view_query &Body);
nlohmann::json viewAnswerToJson(const view_answer &Body);

tl::expected<peer_body, codec_error> digestFromJson(const nlohmann::json &Json);
tl::expected<peer_body, codec_error>
viewQueryFromJson(const nlohmann::json &Json);
tl::expected<peer_body, codec_error>
viewAnswerFromJson(const nlohmann::json &Json);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_PEER_DIGESTJSON_H
