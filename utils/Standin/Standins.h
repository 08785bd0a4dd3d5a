#ifndef UTILS_STANDIN_STANDINS_H
#define UTILS_STANDIN_STANDINS_H

#include "bluebellkeel/Http/HttpHandler.h"
#include <cstdint>
#include <memory>
#include <string>

namespace bluebellkeel {

/// Options of an engine stand-in.
struct engine_options {
  std::string Version;
  /// Maximum number of concurrent requests when cold and when warm.
  std::uint32_t ColdRequests = 0;
  std::uint32_t WarmRequests = 0;
  /// Maximum number of tokens in use.
  std::uint64_t Tokens = 0;
  bool StartWarm = false;
  /// Share of good answers, 0 to 1.
  double Quality = 1;
};

/// Stand-ins for the external services of the system; each has fault switches.
std::unique_ptr<http_handler> makeLogStandin();
std::unique_ptr<http_handler> makeListStandin();
std::unique_ptr<http_handler> makeEngineStandin(const engine_options &Options);
std::unique_ptr<http_handler> makeServiceStandin();
std::unique_ptr<http_handler> makeRaterStandin();

} // namespace bluebellkeel

#endif // UTILS_STANDIN_STANDINS_H
