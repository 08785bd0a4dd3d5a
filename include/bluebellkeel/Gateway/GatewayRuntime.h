#ifndef BLUEBELLKEEL_GATEWAY_GATEWAYRUNTIME_H
#define BLUEBELLKEEL_GATEWAY_GATEWAYRUNTIME_H

#include "bluebellkeel/Gateway/GatewayContext.h"
#include "bluebellkeel/Gateway/MemoryMonitor.h"
#include "bluebellkeel/Gateway/PlatformLogProvider.h"
#include "bluebellkeel/Http/ThreadPool.h"
#include "bluebellkeel/Journal/KeyedListener.h"
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Runs the background loops of a gateway: they follow the log, exchange
/// digests with peers and publish the status of roll-outs.
class gateway_runtime {
public:
  /// Listeners that apply the records of each topic to the gateway's state.
  struct listeners {
    keyed_listener &Settings;
    keyed_listener &Upstreams;
    keyed_listener &Instances;
  };

  /// \param Memory updated regularly, on a thread of \p Pool.
  gateway_runtime(gateway_context &Context, listeners Listeners,
                  platform_log_provider &LogProvider, memory_monitor &Memory,
                  thread_pool &Pool);
  ~gateway_runtime();

  /// Starts the peer link and the background loops. The error contains the
  /// address of the peer link and the operating system's message.
  tl::expected<void, std::string> start();
  /// Sends peers a digest at once, which reports that this instance is leaving.
  void announceLeaving();
  /// Stops the peer link. The background loops run until the thread pool is
  /// stopped.
  void stop();

private:
  class impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_GATEWAYRUNTIME_H
