#ifndef BLUEBELLKEEL_LIB_PEER_DIGESTFORMS_H
#define BLUEBELLKEEL_LIB_PEER_DIGESTFORMS_H

#include "bluebellkeel/Codec/CodecError.h"
#include "bluebellkeel/Peer/PeerBody.h"
#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// The forms of what instances tell each other again and again.
nlohmann::json digestForm(const instance_digest &Body);
nlohmann::json viewQueryForm(const view_query &Body);
nlohmann::json viewAnswerForm(const view_answer &Body);

tl::expected<peer_body, codec_error> digestFrom(const nlohmann::json &Form);
tl::expected<peer_body, codec_error> viewQueryFrom(const nlohmann::json &Form);
tl::expected<peer_body, codec_error> viewAnswerFrom(const nlohmann::json &Form);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_PEER_DIGESTFORMS_H
