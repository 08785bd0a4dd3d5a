#ifndef TOOLS_BLUEBELLKEELCTL_ADMINCLIENT_H
#define TOOLS_BLUEBELLKEELCTL_ADMINCLIENT_H

#include "AdminReply.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http/HttpClient.h"
#include <string>
#include <vector>

namespace bluebellkeel {

/// HTTP client of the admin interface. Tries the instances in order and moves
/// to the next one only when a connection cannot be established.
class admin_client {
public:
  admin_client(std::vector<network_address> Instances, std::string TeamKey);

  /// Sends a request with the team's key. If the connection fails after it was
  /// established, the exit code is Unreachable for get() and InDoubt for
  /// post().
  admin_reply get(const std::string &Target) const;
  admin_reply post(const std::string &Target, const std::string &Body) const;

private:
  admin_reply send(const http_request &Request) const;

  std::vector<network_address> Instances;
  std::string TeamKey;
  http_client Client;
};

} // namespace bluebellkeel

#endif // TOOLS_BLUEBELLKEELCTL_ADMINCLIENT_H
