#ifndef BLUEBELLKEEL_LIB_GATEWAY_DUTYRUNNER_H
#define BLUEBELLKEEL_LIB_GATEWAY_DUTYRUNNER_H

#include "GatewayScaleInput.h"
#include "bluebellkeel/Duty.h"
#include "bluebellkeel/Gateway/GatewayContext.h"
#include "bluebellkeel/Gateway/PlatformLogProvider.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Scale.h"

namespace bluebellkeel {

/// Runs the duties of this instance: sends its counts to those that report
/// them, and takes the duties when they are due.
class duty_runner {
public:
  duty_runner(gateway_context &Context, platform_log_provider &Provider,
              peer_link &Link);

  /// Returns when this instance stops serving. Does nothing in a deployment
  /// without duties.
  void run(boost::asio::yield_context Yield);
  /// Merges a peer's counts and returns the progress that this instance knows.
  duty_progress merge(const instance_id &From, const usage_counts &Counts);

private:
  std::vector<instance_record> candidates() const;
  bool countsAreDue() const;
  void sendCounts(const std::vector<instance_record> &Candidates);

  gateway_context &Context;
  platform_log_provider &Provider;
  peer_link &Link;
  const duty_times Times;
  usage_collector Usage;
  work_collector Work;
  gateway_scale_input ScaleInput;
  duty_news News;
  monotonic_time CountsSentAt;
  std::uint64_t CountsSentIn = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_DUTYRUNNER_H
