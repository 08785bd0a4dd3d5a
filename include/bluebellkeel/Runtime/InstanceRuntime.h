#ifndef BLUEBELLKEEL_RUNTIME_INSTANCERUNTIME_H
#define BLUEBELLKEEL_RUNTIME_INSTANCERUNTIME_H

#include "bluebellkeel/Startup/StartupSettings.h"
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// One entry instance with all its parts and threads.
class instance_runtime {
public:
  explicit instance_runtime(const startup_settings &Startup);
  ~instance_runtime();

  /// Starts to listen and to work; the error says what could not be had.
  tl::expected<void, std::string> start();

  /// Leads callers away, waits for the requests under way, writes out what is
  /// held, and ends. Returns how many requests were cut.
  std::size_t shutDown();

  /// Makes a shutDown() that waits in another thread wait no longer.
  void expediteShutdown();

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RUNTIME_INSTANCERUNTIME_H
