#ifndef BLUEBELLKEEL_RELAY_CHATATTEMPT_H
#define BLUEBELLKEEL_RELAY_CHATATTEMPT_H

#include "bluebellkeel/Core/VersionId.h"
#include "bluebellkeel/Relay/ChatRequest.h"
#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include <tuple>

namespace bluebellkeel {

/// One attempt at a chat completion on one upstream.
class chat_attempt : public comparable<chat_attempt> {
public:
  chat_attempt(std::string Id, chat_request Request, version_id Version,
               upstream_record Upstream)
      : Id(std::move(Id)), Request(std::move(Request)),
        Version(std::move(Version)), Upstream(std::move(Upstream)) {}

  /// Unique for each attempt; the upstream's response must carry it.
  const std::string &id() const { return Id; }
  const chat_request &request() const { return Request; }
  const version_id &version() const { return Version; }
  const upstream_record &upstream() const { return Upstream; }
  auto key() const { return std::tie(Id, Request, Version, Upstream); }

private:
  std::string Id;
  chat_request Request;
  version_id Version;
  upstream_record Upstream;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_CHATATTEMPT_H
