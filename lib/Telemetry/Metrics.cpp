#include "bluebellkeel/Telemetry/Metrics.h"
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

using namespace bluebellkeel;

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

static prometheus::Histogram::BucketBoundaries latencyBuckets() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
          0.2,   0.58,  1,     2,    5,    10,   30};
}

class metrics::impl {
public:
  impl()
      : Refusals(BuildCounter()
                     .Name("bluebellkeel_refusals_total")
                     .Help("Requests without a whole answer, by reason")
                     .Register(Registry)),
        Retries(BuildCounter()
                    .Name("bluebellkeel_retries_total")
                    .Help("Further attempts, by what ended the one before")
                    .Register(Registry)),
        AttemptErrors(BuildCounter()
                          .Name("bluebellkeel_attempt_errors_total")
                          .Help("Attempts without a whole answer")
                          .Register(Registry)),
        Answers(BuildCounter()
                    .Name("bluebellkeel_answers_total")
                    .Help("Whole answers, by version and quality target")
                    .Register(Registry)),
        Appends(BuildCounter()
                    .Name("bluebellkeel_log_appends_total")
                    .Help("Appends to the log, by stream and result")
                    .Register(Registry)),
        AppendEntries(BuildCounter()
                          .Name("bluebellkeel_log_entries_total")
                          .Help("Entries in successful appends, by stream")
                          .Register(Registry)),
        PeerMessages(BuildCounter()
                         .Name("bluebellkeel_peer_messages_total")
                         .Help("Messages between instances")
                         .Register(Registry)),
        PeerBytes(BuildCounter()
                      .Name("bluebellkeel_peer_bytes_total")
                      .Help("Bytes of messages between instances")
                      .Register(Registry)),
        PeerFaults(BuildCounter()
                       .Name("bluebellkeel_peer_faults_total")
                       .Help("Messages from peers that were dropped")
                       .Register(Registry)),
        RequestsByKind(BuildCounter()
                           .Name("bluebellkeel_requests_total")
                           .Help("Requests by kind of end")
                           .Register(Registry)),
        DutyCalls(BuildCounter()
                      .Name("bluebellkeel_duty_calls_total")
                      .Help("Calls that are duties, by call and outcome")
                      .Register(Registry)),
        Gauges(BuildGauge()
                   .Name("bluebellkeel_state")
                   .Help("State of this instance, by what it measures")
                   .Register(Registry)),
        Latency(BuildHistogram()
                    .Name("bluebellkeel_latency_seconds")
                    .Help("Time from a request to its first piece and its end")
                    .Register(Registry)) {
    for (auto Reason : allRefusalReasons())
      Refusals.Add({{"reason", std::string(toString(Reason))}});
    for (auto Error : allAttemptErrors()) {
      Retries.Add({{"reason", std::string(toString(Error))}});
      AttemptErrors.Add({{"reason", std::string(toString(Error))}});
    }
  }

  void setGauge(const char *Name, double Value) {
    Gauges.Add({{"of", Name}}).Set(Value);
  }
  void observe(const char *Stage, double Seconds) {
    Latency.Add({{"until", Stage}}, latencyBuckets()).Observe(Seconds);
  }

  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Refusals;
  prometheus::Family<prometheus::Counter> &Retries;
  prometheus::Family<prometheus::Counter> &AttemptErrors;
  prometheus::Family<prometheus::Counter> &Answers;
  prometheus::Family<prometheus::Counter> &Appends;
  prometheus::Family<prometheus::Counter> &AppendEntries;
  prometheus::Family<prometheus::Counter> &PeerMessages;
  prometheus::Family<prometheus::Counter> &PeerBytes;
  prometheus::Family<prometheus::Counter> &PeerFaults;
  prometheus::Family<prometheus::Counter> &RequestsByKind;
  prometheus::Family<prometheus::Counter> &DutyCalls;
  prometheus::Family<prometheus::Gauge> &Gauges;
  prometheus::Family<prometheus::Histogram> &Latency;
};

metrics::metrics() : Impl(std::make_unique<impl>()) {}
metrics::~metrics() = default;

void metrics::countRefusal(refusal_reason Reason) {
  Impl->Refusals.Add({{"reason", std::string(toString(Reason))}}).Increment();
}

void metrics::countRetry(attempt_error Reason) {
  Impl->Retries.Add({{"reason", std::string(toString(Reason))}}).Increment();
}

void metrics::countAttemptError(attempt_error Error) {
  Impl->AttemptErrors.Add({{"reason", std::string(toString(Error))}})
      .Increment();
}

void metrics::countAnswer(const version_id &Version, bool MetTarget) {
  Impl->Answers
      .Add({{"version", Version.text()},
            {"target", MetTarget ? "met" : "missed"}})
      .Increment();
}

void metrics::countServiceCall() {
  Impl->RequestsByKind.Add({{"kind", "service_call"}}).Increment();
}

void metrics::observeFirstByte(double Seconds) {
  Impl->observe("first_piece", Seconds);
}

void metrics::observeRequestDuration(double Seconds) {
  Impl->observe("end", Seconds);
}

void metrics::setActiveRequests(double Requests) {
  Impl->setGauge("active_requests", Requests);
}

void metrics::setHeldBills(double Bills) {
  Impl->setGauge("held_bills", Bills);
}

void metrics::setResidentBytes(double Bytes) {
  Impl->setGauge("resident_bytes", Bytes);
}

void metrics::setCallerConnections(double Connections) {
  Impl->setGauge("caller_connections", Connections);
}

void metrics::setHeldBytes(double Bytes) {
  Impl->setGauge("held_bytes", Bytes);
}

void metrics::setHeldBytesLimit(double Bytes) {
  Impl->setGauge("held_bytes_limit", Bytes);
}

void metrics::countDutyCall(std::string_view Call, std::string_view Outcome) {
  Impl->DutyCalls
      .Add({{"call", std::string(Call)}, {"outcome", std::string(Outcome)}})
      .Increment();
}

void metrics::setSettingsAge(double Seconds) {
  Impl->setGauge("settings_age_seconds", Seconds);
}

void metrics::setBoardAge(double Seconds) {
  Impl->setGauge("load_board_age_seconds", Seconds);
}

void metrics::setSettingsAppliedOffset(double Offset) {
  Impl->setGauge("settings_applied_offset", Offset);
}

void metrics::countAppend(const std::string &Stream, bool Succeeded,
                          std::size_t Entries) {
  Impl->Appends
      .Add({{"stream", Stream}, {"result", Succeeded ? "done" : "failed"}})
      .Increment();
  if (Succeeded)
    Impl->AppendEntries.Add({{"stream", Stream}})
        .Increment(static_cast<double>(Entries));
}

void metrics::countPeerMessage(const std::string &Kind, bool Sent,
                               std::size_t Bytes) {
  prometheus::Labels Labels = {{"kind", Kind},
                               {"direction", Sent ? "out" : "in"}};
  Impl->PeerMessages.Add(Labels).Increment();
  Impl->PeerBytes.Add(Labels).Increment(static_cast<double>(Bytes));
}

void metrics::countPeerFault(const std::string &Reason) {
  Impl->PeerFaults.Add({{"reason", Reason}}).Increment();
}

void metrics::countCutAtShutdown(std::size_t Requests) {
  Impl->RequestsByKind.Add({{"kind", "cut_at_shutdown"}})
      .Increment(static_cast<double>(Requests));
}

std::string metrics::render() const {
  return prometheus::TextSerializer().Serialize(Impl->Registry.Collect());
}
