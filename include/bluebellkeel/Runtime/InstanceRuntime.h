#ifndef BLUEBELLKEEL_RUNTIME_INSTANCERUNTIME_H
#define BLUEBELLKEEL_RUNTIME_INSTANCERUNTIME_H

#include "bluebellkeel/Startup/StartupSettings.h"
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Runs one instance; owns all its components and threads.
class instance_runtime {
public:
  explicit instance_runtime(const startup_settings &Startup);
  ~instance_runtime();

  /// Starts the listeners and the threads. The error describes the listener
  /// that could not be started.
  tl::expected<void, std::string> start();

  /// Redirects callers, waits for active requests, flushes pending bills,
  /// claims and settings changes, and stops the threads. Returns the number of
  /// requests that were cut off.
  std::size_t shutDown();

  /// Skips the remaining waits of a shutDown() that runs in another thread.
  void expediteShutdown();

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RUNTIME_INSTANCERUNTIME_H
