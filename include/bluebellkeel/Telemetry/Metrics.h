#ifndef BLUEBELLKEEL_TELEMETRY_METRICS_H
#define BLUEBELLKEEL_TELEMETRY_METRICS_H

#include "bluebellkeel/Relay/RelayMonitor.h"
#include <memory>
#include <string>
#include <string_view>

namespace bluebellkeel {

/// The Prometheus counters, gauges and histograms of this process.
class metrics final : public relay_monitor {
public:
  metrics();
  ~metrics() override;

  void countRefusal(refusal_reason Reason) override;
  void countRetry(attempt_error Reason) override;
  void countAttemptError(attempt_error Error) override;
  void countAnswer(const version_id &Version, bool MetTarget) override;
  void countServiceCall() override;

  /// Records the seconds from the start of a request to the first piece of its
  /// response.
  void observeFirstByte(double Seconds);
  /// Records the seconds from the start of a request to its end.
  void observeRequestDuration(double Seconds);
  void setActiveRequests(double Requests);
  void setHeldBills(double Bills);
  /// Sets the resident memory of the process; -1 means unknown.
  void setResidentBytes(double Bytes);
  void setCallerConnections(double Connections);
  /// Sets the bytes that connections and requests hold, and may hold.
  void setHeldBytes(double Bytes);
  void setHeldBytesLimit(double Bytes);
  /// Sets the seconds since the settings were last known to be up to date; -1
  /// means never.
  /// Counts a call to the platform that is a duty of one instance at a time.
  void countDutyCall(std::string_view Call, std::string_view Outcome);
  void setSettingsAge(double Seconds);
  /// Sets the upper bound of the age of the load board, in seconds; -1 means
  /// that there was none.
  void setBoardAge(double Seconds);
  void setSettingsAppliedOffset(double Offset);
  void countAppend(const std::string &Stream, bool Succeeded,
                   std::size_t Entries);
  void countPeerMessage(const std::string &Kind, bool Sent, std::size_t Bytes);
  void countPeerFault(const std::string &Reason);
  void countCutAtShutdown(std::size_t Requests);

  /// Returns all metrics in the Prometheus text format.
  std::string render() const;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_TELEMETRY_METRICS_H
