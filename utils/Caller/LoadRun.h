#ifndef UTILS_CALLER_LOADRUN_H
#define UTILS_CALLER_LOADRUN_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include <cstdint>
#include <string>
#include <vector>

namespace bluebellkeel {

/// Parameters of a load run.
struct load_plan {
  std::vector<network_address> KnownAddresses;
  std::string ApiKey;
  std::string Model;
  /// If not empty, orders to this service are sent instead of chats.
  std::string Service;
  std::string Operation;
  std::uint64_t Requests = 0;
  unsigned Threads = 1;
  std::uint64_t MaxTokens = 0;
  /// The known addresses are engines, which do not serve address discovery.
  bool SkipsDiscovery = false;
};

/// Runs the plan and returns a JSON summary: the number of requests by outcome
/// and reason, and quantiles of the time to a complete answer in seconds.
std::string runLoad(const load_plan &Plan);

} // namespace bluebellkeel

#endif // UTILS_CALLER_LOADRUN_H
