#ifndef BLUEBELLKEEL_PEER_GRANTREPLY_H
#define BLUEBELLKEEL_PEER_GRANTREPLY_H

#include "bluebellkeel/Upstream/Grant.h"
#include <vector>

namespace bluebellkeel {

/// The grants that the owner of the upstreams issues in answer to a grant_ask.
class grant_reply : public comparable<grant_reply> {
public:
  grant_reply() = default;
  explicit grant_reply(std::vector<grant> Grants) : Grants(std::move(Grants)) {}

  const std::vector<grant> &grants() const { return Grants; }
  const std::vector<grant> &key() const { return Grants; }

private:
  std::vector<grant> Grants;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_GRANTREPLY_H
