#ifndef BLUEBELLKEEL_LIB_PEER_BOARDJSON_H
#define BLUEBELLKEEL_LIB_PEER_BOARDJSON_H

#include "bluebellkeel/Codec/CodecError.h"
#include "bluebellkeel/Peer/PeerBody.h"
#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

namespace bluebellkeel {

nlohmann::json batchToJson(const load_batch &Batch);
nlohmann::json boardToJson(const load_board &Board);
tl::expected<peer_body, codec_error> batchFromJson(const nlohmann::json &Json);
tl::expected<peer_body, codec_error> boardFromJson(const nlohmann::json &Json);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_PEER_BOARDJSON_H
