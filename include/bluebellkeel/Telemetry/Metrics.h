#ifndef BLUEBELLKEEL_TELEMETRY_METRICS_H
#define BLUEBELLKEEL_TELEMETRY_METRICS_H

#include "bluebellkeel/Relay/RelayMonitor.h"
#include <memory>
#include <string>

namespace bluebellkeel {

/// The counters and gauges of this process, in the form Prometheus reads.
class metrics final : public relay_monitor {
public:
  metrics();
  ~metrics() override;

  void countRefusal(refusal_reason Reason) override;
  void countRetry(attempt_error Reason) override;
  void countAttemptError(attempt_error Error) override;
  void countAnswer(const version_id &Version, bool MetTarget) override;
  void countServiceCall() override;

  /// Seconds from the start of a request to its first piece and to its end.
  void observeFirstByte(double Seconds);
  void observeRequestDuration(double Seconds);
  void setActiveRequests(double Requests);
  void setHeldBills(double Bills);
  /// Seconds since the settings were known to be the newest; -1 for never.
  void setSettingsAge(double Seconds);
  void setSettingsAppliedOffset(double Offset);
  void countAppend(const std::string &Stream, bool Succeeded,
                   std::size_t Entries);
  void countPeerMessage(const std::string &Kind, bool Sent, std::size_t Bytes);
  void countPeerFault(const std::string &Reason);
  void countCutAtShutdown(std::size_t Requests);

  /// All of it in Prometheus's text form.
  std::string render() const;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_TELEMETRY_METRICS_H
