#ifndef UTILS_STANDIN_STANDINS_H
#define UTILS_STANDIN_STANDINS_H

#include "bluebellkeel/Http/HttpHandler.h"
#include <cstdint>
#include <memory>
#include <string>

namespace bluebellkeel {

/// What an engine stand-in is told on its command line.
struct engine_options {
  std::string Version;
  /// Bearable load when cold and when warm.
  std::uint32_t ColdRequests = 0;
  std::uint32_t WarmRequests = 0;
  std::uint64_t Tokens = 0;
  bool StartWarm = false;
  /// Share of good answers, 0 to 1.
  double Quality = 1;
};

/// Small stand-ins for what surrounds the system; each has its faults as
/// switches.
std::unique_ptr<http_handler> makeLogStandin();
std::unique_ptr<http_handler> makeListStandin();
std::unique_ptr<http_handler> makeEngineStandin(const engine_options &Options);
std::unique_ptr<http_handler> makeServiceStandin();
std::unique_ptr<http_handler> makeRaterStandin();

} // namespace bluebellkeel

#endif // UTILS_STANDIN_STANDINS_H
