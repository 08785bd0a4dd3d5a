#ifndef UTILS_CALLER_LOADRUN_H
#define UTILS_CALLER_LOADRUN_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include <cstdint>
#include <string>
#include <vector>

namespace bluebellkeel {

/// What a load run is told.
struct load_plan {
  std::vector<network_address> KnownAddresses;
  std::string ApiKey;
  std::string Model;
  std::string Service;
  std::string Operation;
  std::uint64_t Requests = 0;
  unsigned Threads = 1;
  std::uint64_t MaxTokens = 0;
  /// The known addresses are engines; they are asked for no advice.
  bool SkipsDiscovery = false;
};

/// Runs the plan and returns a summary as JSON: how many ended how, and the
/// quantiles of the time that whole answers took.
std::string runLoad(const load_plan &Plan);

} // namespace bluebellkeel

#endif // UTILS_CALLER_LOADRUN_H
