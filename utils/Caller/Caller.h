#ifndef UTILS_CALLER_CALLER_H
#define UTILS_CALLER_CALLER_H

#include "RequestResult.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http/HttpClient.h"
#include <string>
#include <vector>

namespace bluebellkeel {

/// Client of the router. It discovers instance addresses, caches them for as
/// long as they are valid, and connects to them directly. Not thread-safe.
class caller {
public:
  caller(std::vector<network_address> KnownAddresses, std::string ApiKey);

  /// Uses only the known addresses.
  void skipDiscovery() { SkipsDiscovery = true; }

  /// Returns the addresses to use. Unless cached addresses are still valid, the
  /// known instances are queried in order; if all of them fail, the known
  /// addresses are returned.
  std::vector<network_address> addresses();

  /// Sends a chat completion. Tries the next address only if the connection
  /// failed or a 503 response has `not_run: true`. \p Key is the idempotency
  /// key; \p Session is a session token, or empty for none.
  request_result chat(const std::string &Model, const std::string &Prompt,
                      std::uint64_t MaxTokens, bool Stream,
                      const std::string &Key, const std::string &Session);

  /// Sends a call that runs at most once, under a new ticket. Resends it with
  /// the same ticket up to \p Resends times until a complete answer
  /// arrives. NotRun with the reason `no_ticket` if no ticket was issued.
  request_result order(const std::string &Service, const std::string &Operation,
                       const std::string &Body, unsigned Resends);

  /// Sends a call that may run more than once.
  request_result call(const std::string &Service, const std::string &Operation,
                      const std::string &Body);

private:
  http_headers headers() const;
  tl::expected<http_response, http_error> sendAnywhere(const http_request &R);
  request_result sendServiceRequest(const http_request &Request);

  std::vector<network_address> KnownAddresses;
  std::vector<network_address> Discovered;
  monotonic_time DiscoveredUntil;
  std::string ApiKey;
  bool SkipsDiscovery = false;
  http_client Client;
};

} // namespace bluebellkeel

#endif // UTILS_CALLER_CALLER_H
