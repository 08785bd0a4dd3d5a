#ifndef BLUEBELLKEEL_PEER_GRANTASK_H
#define BLUEBELLKEEL_PEER_GRANTASK_H

#include "bluebellkeel/Upstream/GrantRequest.h"
#include <vector>

namespace bluebellkeel {

/// Asks the owner of several upstreams for grants on all of them at once.
class grant_ask : public comparable<grant_ask> {
public:
  grant_ask() = default;
  explicit grant_ask(std::vector<grant_request> Requests)
      : Requests(std::move(Requests)) {}

  const std::vector<grant_request> &requests() const { return Requests; }
  const std::vector<grant_request> &key() const { return Requests; }

private:
  std::vector<grant_request> Requests;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_GRANTASK_H
