#ifndef UTILS_CALLER_CALLER_H
#define UTILS_CALLER_CALLER_H

#include "RequestResult.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http/HttpClient.h"
#include <string>
#include <vector>

namespace bluebellkeel {

/// A caller of the system: asks which addresses to use, keeps the answer for
/// as long as it is valid, and connects there itself.
class caller {
public:
  caller(std::vector<network_address> KnownAddresses, std::string ApiKey);

  /// Uses the known addresses as they are and asks for no others.
  void skipDiscovery() { SkipsDiscovery = true; }

  /// Asks the known instances in turn for addresses.
  std::vector<network_address> addresses();

  /// One chat completion. Goes on to the next address only after a refusal
  /// that says that nothing ran, or a connection that was not made.
  request_result chat(const std::string &Model, const std::string &Prompt,
                      std::uint64_t MaxTokens, bool Stream,
                      const std::string &Key, const std::string &Session);

  /// One call that runs at most once: takes a ticket first. With \p Resends it
  /// sends the same ticket again after a doubt.
  request_result order(const std::string &Service, const std::string &Operation,
                       const std::string &Body, unsigned Resends);

  /// One call that may be repeated.
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
