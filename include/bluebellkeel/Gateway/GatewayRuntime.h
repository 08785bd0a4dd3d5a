#ifndef BLUEBELLKEEL_GATEWAY_GATEWAYRUNTIME_H
#define BLUEBELLKEEL_GATEWAY_GATEWAYRUNTIME_H

#include "bluebellkeel/Gateway/GatewayContext.h"
#include "bluebellkeel/Gateway/PlatformLogProvider.h"
#include "bluebellkeel/Http/ThreadPool.h"
#include "bluebellkeel/Journal/KeyedListener.h"
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// The rounds of a gateway: it follows the log, talks to its peers and tells
/// operators how roll-outs stand.
class gateway_runtime {
public:
  /// The topics' listeners bring what the log says into the parts.
  struct listeners {
    keyed_listener &Settings;
    keyed_listener &Upstreams;
    keyed_listener &Instances;
  };

  gateway_runtime(gateway_context &Context, listeners Listeners,
                  platform_log_provider &LogProvider, thread_pool &Pool);
  ~gateway_runtime();

  /// Starts the rounds; the error names what the system said.
  tl::expected<void, std::string> start();
  /// Tells the peers at once that this instance is leaving.
  void announceLeaving();
  /// Ends the talk with the peers.
  void stop();

private:
  class impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_GATEWAYRUNTIME_H
